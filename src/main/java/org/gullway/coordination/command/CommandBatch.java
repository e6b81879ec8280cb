package org.gullway.coordination.command;

import java.time.Instant;
import java.util.List;
import org.gullway.protocol.AgentCommand;

/**
 * Commands to be sent to one agent together.
 *
 * @param address where the agent takes commands
 * @param fencingToken the agent refuses the commands if it knows a higher one
 * @param agentEpoch the only agent epoch in which the agent executes the commands
 * @param sentAt when the batch was planned, which is just before it is sent
 */
public record CommandBatch(
        String machine,
        String address,
        long fencingToken,
        long agentEpoch,
        List<AgentCommand> commands,
        Instant sentAt) {
    /** Whether any of the commands starts an attempt. */
    public boolean hasStarts() {
        return commands.stream().anyMatch(command -> command.kind() == AgentCommand.Kind.START);
    }

    /** The same batch with these commands instead. */
    public CommandBatch withCommands(List<AgentCommand> replacement) {
        return new CommandBatch(machine, address, fencingToken, agentEpoch, replacement, sentAt);
    }
}
