/** Reconciles the agents on machines with the records: heartbeats, commands, completions, failure detection. */
package org.gullway.coordination.agents;
