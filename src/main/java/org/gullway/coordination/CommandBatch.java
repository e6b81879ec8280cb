package org.gullway.coordination;

import java.time.Instant;
import java.util.List;
import org.gullway.protocol.Command;

/** Commands to be sent to one worker together. */
public record CommandBatch(
        String machine, String address, long token, long session, List<Command> commands, Instant sent) {
    /** Whether any of the commands starts an attempt. */
    public boolean starts() {
        return commands.stream().anyMatch(c -> c.kind() == Command.Kind.START);
    }

    /** The same with these commands instead. */
    public CommandBatch with(List<Command> others) {
        return new CommandBatch(machine, address, token, session, others, sent);
    }
}
