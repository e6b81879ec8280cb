package org.gullway.protocol;

import java.util.List;

/** Encoded answers to reports; the one without commands, which is by far the most frequent, is encoded once a token. */
public final class HeartbeatResponseEncoder {
    private long fencingToken = -1;
    private byte[] withoutCommands;

    /** The answer to a worker's report; its bytes are shared and must not be changed. */
    public byte[] encode(long responseToken, List<AgentCommand> commands) {
        if (!commands.isEmpty()) {
            return AgentCommand.encodeResponse(responseToken, commands);
        }
        if (fencingToken != responseToken) {
            fencingToken = responseToken;
            withoutCommands = AgentCommand.encodeResponse(responseToken, commands);
        }
        return withoutCommands;
    }
}
