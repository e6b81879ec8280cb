package org.gullway.protocol;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/**
 * An agent's status: its tasks, its epoch and the fencing token that it has confirmed. The agent sends its status as a
 * heartbeat and as the response to a direct command.
 *
 * @param address the address at which the agent accepts commands
 * @param sequence number of this status, which increases with each status that the agent sends
 * @param spotNotice time until the cloud provider reclaims the spot machine; null if no reclaim is announced
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        Count agentEpoch,
        Count sequence,
        Count fencingToken,
        Duration spotNotice,
        List<TaskStatus> tasks) {

    /**
     * Decodes a heartbeat from CBOR.
     *
     * @param lastHeartbeats returns the last heartbeat of the machine with the given name, or null if none is known;
     *     unchanged values are reused from it instead of allocated again
     */
    public static Heartbeat parse(byte[] body, Function<String, Heartbeat> lastHeartbeats)
            throws MalformedMessageException {
        return HeartbeatReader.read(body, lastHeartbeats);
    }

    /** Whether the agent sent this heartbeat after the other one. */
    public boolean isNewerThan(Heartbeat other) {
        int byEpoch = agentEpoch.compareTo(other.agentEpoch);
        return byEpoch > 0 || (byEpoch == 0 && sequence.isGreaterThan(other.sequence));
    }
}
