/**
 * Reconciles the agents on machines with the records.
 *
 * <p>{@link org.gullway.coordination.agents.AgentReconciler} is the entrance. Heartbeats go to the heartbeat receiver,
 * commands come from the command dispatcher, completions go through the completion reporter to the buffer of the record
 * writer, and several planning parts change records: agent epochs, spot notices, faulty, unresponsive and lost machines.
 */
package org.gullway.coordination.agents;
