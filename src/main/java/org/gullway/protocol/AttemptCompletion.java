package org.gullway.protocol;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An attempt that has certainly ended, reported by the controller of its machine to the record writer of its job. Such an
 * end stays true for ever, so the message may come late and more than once.
 *
 * @param outcome how it ended, as the code that {@code JobRecord.AttemptOutcome} has among its constants
 */
public record AttemptCompletion(TaskId task, long attempt, byte outcome) {
    public static final int MAX_PER_MESSAGE = 500;
    private static final int VERSION = 1;
    private static final int EXPECTED_BYTES = 32;
    private static final String CONTENT = "attempt completions";

    /** Encodes a message to a peer. The caller sees to it that there are at most {@link #MAX_PER_MESSAGE}. */
    public static byte[] encode(List<AttemptCompletion> completions) {
        return PeerMessages.encode(VERSION, EXPECTED_BYTES * completions.size(), out -> {
            out.writeShort(completions.size());
            for (AttemptCompletion completion : completions) {
                out.writeUTF(completion.task.job());
                out.writeInt(completion.task.index());
                out.writeLong(completion.attempt);
                out.writeByte(completion.outcome);
            }
        });
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedMessageException if it is truncated, too long, or of another version
     */
    public static List<AttemptCompletion> decode(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, CONTENT, AttemptCompletion::readAll);
    }

    private static List<AttemptCompletion> readAll(DataInputStream in) throws IOException, MalformedMessageException {
        int count = PeerMessages.readCount(in, MAX_PER_MESSAGE, CONTENT);
        List<AttemptCompletion> completions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            TaskId task = new TaskId(in.readUTF(), in.readInt());
            completions.add(new AttemptCompletion(task, in.readLong(), in.readByte()));
        }
        return completions;
    }
}
