/**
 * Reconciles the agents on machines with the records in the cluster state.
 *
 * <p>{@link org.gullway.coordination.agents.AgentReconciler} is the entry point. The heartbeat receiver handles
 * heartbeats, and the command dispatcher creates commands. The completion reporter passes completions to the
 * completion buffer of the controller that writes the job's record. Several planners change records: they record agent
 * epochs, act on spot notices, and handle faulty, unresponsive and lost machines.
 */
package org.gullway.coordination.agents;
