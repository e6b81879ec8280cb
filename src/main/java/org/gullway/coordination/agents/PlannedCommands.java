package org.gullway.coordination.agents;

import java.util.List;
import org.gullway.protocol.AgentCommand;

/**
 * The commands that are due for one agent.
 *
 * @param heldBackStarts the number of starts that were left out, since the agent would list more attempts than its
 *     heartbeat can hold
 */
record PlannedCommands(List<AgentCommand> commands, int heldBackStarts) {
    static final PlannedCommands NONE = new PlannedCommands(List.of(), 0);
}
