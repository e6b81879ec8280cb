package org.gullway.protocol;

import java.util.List;

/** Encodes responses to heartbeats; the one without commands, by far the most frequent, is encoded once for each token. */
public final class HeartbeatResponseEncoder {
    private long fencingToken = -1;
    private byte[] withoutCommands;

    /** The response to a heartbeat; its bytes are shared and must not be changed. */
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
