package org.gullway.coordination.command;

import java.time.Instant;
import java.util.List;
import org.gullway.protocol.AgentCommand;

/** Commands to be sent to one worker together. */
public record CommandBatch(
        String machine,
        String address,
        long fencingToken,
        long agentEpoch,
        List<AgentCommand> commands,
        Instant sentAt) {
    /** Whether any of the commands starts an attempt. */
    public boolean hasStarts() {
        return commands.stream().anyMatch(c -> c.kind() == AgentCommand.Kind.START);
    }

    /** The same with these commands instead. */
    public CommandBatch withCommands(List<AgentCommand> others) {
        return new CommandBatch(machine, address, fencingToken, agentEpoch, others, sentAt);
    }
}
