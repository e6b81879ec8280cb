/** Scheduling: placement of reserved, best-effort and scavenger-class jobs on machines, preemption and cordons. */
package org.gullway.coordination.scheduling;
