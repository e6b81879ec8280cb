package org.gullway.protocol;

import java.util.List;

/**
 * Encodes responses to heartbeats. Most responses contain no commands; such a response is encoded once and reused until
 * the fencing token changes. The encoder is not thread-safe.
 */
public final class HeartbeatResponseEncoder {
    private long cachedToken = -1;
    private byte[] cachedResponse;

    /** Encodes the response to a heartbeat. The caller must not change the returned array, which is reused. */
    public byte[] encode(long fencingToken, List<AgentCommand> commands) {
        if (!commands.isEmpty()) {
            return AgentCommand.encodeResponse(fencingToken, commands);
        }
        if (cachedToken != fencingToken) {
            cachedToken = fencingToken;
            cachedResponse = AgentCommand.encodeResponse(fencingToken, commands);
        }
        return cachedResponse;
    }
}
