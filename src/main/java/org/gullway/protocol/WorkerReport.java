package org.gullway.protocol;

import java.time.Duration;
import java.util.List;
import java.util.function.Function;

/** A worker's account of itself, from a report or from the answer to a direct command. */
public record WorkerReport(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long session,
        long sequence,
        long token,
        Duration notice,
        List<TaskReport> tasks) {

    /**
     * Reads a report.
     *
     * @param lastMessages the last message of the machine with a name, or null if none is known; what has not changed
     *     since then is shared with it
     */
    public static WorkerReport parse(byte[] body, Function<String, WorkerReport> lastMessages)
            throws MalformedException {
        return WorkerReportReader.read(body, lastMessages);
    }

    /** Newer in the order of the worker's own messages. */
    public boolean newerThan(long otherSession, long otherSequence) {
        return session > otherSession || session == otherSession && sequence > otherSequence;
    }
}
