package org.gullway.protocol;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/**
 * An agent's status: its tasks, its epoch and the fencing token that it has confirmed. It comes as a heartbeat, or as the response
 * to a direct command.
 *
 * @param address where the agent takes commands
 * @param sequence rises with each message of the agent
 * @param spotNotice time until the cloud provider takes the machine back; null if none was announced
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long agentEpoch,
        long sequence,
        long fencingToken,
        Duration spotNotice,
        List<TaskStatus> tasks) {

    /**
     * Reads a status from its CBOR form.
     *
     * @param lastMessages the last message of the machine with a name, or null if none is known; what has not changed
     *     since then is shared with it
     */
    public static Heartbeat parse(byte[] body, Function<String, Heartbeat> lastMessages)
            throws MalformedMessageException {
        return HeartbeatReader.read(body, lastMessages);
    }

    /** Whether it is newer in the order of the agent's own messages. */
    public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
        return agentEpoch > otherAgentEpoch || (agentEpoch == otherAgentEpoch && sequence > otherSequence);
    }
}
