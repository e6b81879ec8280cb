/** Decides which task runs on which machine: reserved, best-effort and scavenger-class jobs, and preemption. */
package org.gullway.coordination.scheduling;
