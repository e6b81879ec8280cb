package org.gullway.protocol;

import java.util.List;

/**
 * Encodes responses to heartbeats. Most responses contain no commands; such a response is encoded once and reused until
 * the fencing token changes. The encoder is not thread-safe.
 */
public final class HeartbeatResponseEncoder {
    /** The fencing token of the cached response; null until there is one. */
    private Count cachedToken;

    private byte[] cachedResponse;

    /**
     * Encodes the response to a heartbeat. Commands that do not fit into the response are left out; they are due again
     * when the next heartbeat arrives. The caller must not change the returned array, which is reused.
     */
    public byte[] encode(Count fencingToken, List<AgentCommand> commands) {
        if (!commands.isEmpty()) {
            return AgentCommand.encodeResponse(fencingToken, AgentCommand.firstThatFit(commands));
        }
        if (!fencingToken.equals(cachedToken)) {
            cachedToken = fencingToken;
            cachedResponse = AgentCommand.encodeResponse(fencingToken, commands);
        }
        return cachedResponse;
    }
}
