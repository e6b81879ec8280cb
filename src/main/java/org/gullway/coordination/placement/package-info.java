/** Where a task may be placed: compatible machines, free resources, zones and best fit. */
package org.gullway.coordination.placement;
