package org.gullway.protocol;

import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The confirmed end of an attempt, reported by the controller that commands the attempt's machine to the controller
 * that writes the job's record. The end of an attempt is final, so the message is still correct if it is delayed or
 * delivered more than once.
 *
 * @param outcome how the attempt ended, as a code that {@code OutcomeCode} in the coordination layer maps to an outcome
 */
public record AttemptCompletion(TaskId task, Count attempt, byte outcome) {
    public static final int MAX_PER_MESSAGE = 500;
    private static final int VERSION = 1;
    private static final int EXPECTED_COMPLETION_BYTES = 32;
    private static final String CONTENT = "attempt completions";

    /** Encodes a message to a peer. The caller must not pass more than {@link #MAX_PER_MESSAGE} completions. */
    public static byte[] encode(List<AttemptCompletion> completions) {
        return PeerMessages.encode(VERSION, EXPECTED_COMPLETION_BYTES * completions.size(), out -> {
            out.writeShort(completions.size());
            for (AttemptCompletion completion : completions) {
                out.writeUTF(completion.task.job());
                out.writeInt(completion.task.index());
                PeerMessages.writeUnsignedLong(out, completion.attempt);
                out.writeByte(completion.outcome);
            }
        });
    }

    /**
     * Decodes a message of {@link #encode}.
     *
     * @throws MalformedMessageException if the message is truncated, has trailing bytes or another version, or has
     *     more than {@link #MAX_PER_MESSAGE} completions
     */
    public static List<AttemptCompletion> decode(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, CONTENT, AttemptCompletion::readAll);
    }

    private static List<AttemptCompletion> readAll(DataInputStream in) throws IOException, MalformedMessageException {
        int count = PeerMessages.readCount(in, MAX_PER_MESSAGE, CONTENT);
        List<AttemptCompletion> completions = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            TaskId task = new TaskId(PeerMessages.readText(in), in.readInt());
            completions.add(new AttemptCompletion(task, PeerMessages.readUnsignedLong(in), in.readByte()));
        }
        return completions;
    }
}
