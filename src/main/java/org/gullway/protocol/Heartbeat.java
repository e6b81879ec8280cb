package org.gullway.protocol;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/** A worker's account of itself, from a report or from the answer to a direct command. */
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
     * Reads a report.
     *
     * @param lastMessages the last message of the machine with a name, or null if none is known; what has not changed
     *     since then is shared with it
     */
    public static Heartbeat parse(byte[] body, Function<String, Heartbeat> lastMessages)
            throws MalformedMessageException {
        return HeartbeatReader.read(body, lastMessages);
    }

    /** Newer in the order of the worker's own messages. */
    public boolean isNewerThan(long otherAgentEpoch, long otherSequence) {
        return agentEpoch > otherAgentEpoch || agentEpoch == otherAgentEpoch && sequence > otherSequence;
    }
}
