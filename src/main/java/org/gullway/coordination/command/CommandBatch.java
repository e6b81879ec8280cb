package org.gullway.coordination.command;

import java.time.Instant;
import java.util.List;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;

/**
 * Commands that are sent to one agent in one request.
 *
 * @param address the agent's address for commands
 * @param fencingToken an agent that has confirmed a higher fencing token refuses the commands
 * @param agentEpoch the agent executes the commands only in this agent epoch
 * @param sentAt when the batch was planned, immediately before it is sent
 */
public record CommandBatch(
        String machine,
        String address,
        Count fencingToken,
        Count agentEpoch,
        List<AgentCommand> commands,
        Instant sentAt) {
    /** Returns whether any of the commands starts an attempt. */
    public boolean hasStarts() {
        return commands.stream().anyMatch(command -> command.kind() == AgentCommand.Kind.START);
    }

    /** Returns a copy of the batch with the first of its commands, as many as fit into one request. */
    public CommandBatch withCommandsThatFit() {
        return withCommands(AgentCommand.firstThatFit(commands));
    }

    /** Returns a copy of the batch that contains these commands instead. */
    public CommandBatch withCommands(List<AgentCommand> replacement) {
        return new CommandBatch(machine, address, fencingToken, agentEpoch, replacement, sentAt);
    }
}
