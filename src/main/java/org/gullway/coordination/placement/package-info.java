/** Placement of tasks on machines: compatibility, free resources, zone constraints and best-fit bin packing. */
package org.gullway.coordination.placement;
