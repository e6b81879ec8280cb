/** Where a task may be placed: compatibility, free resources, quota and best fit. */
package org.gullway.coordination.placement;
