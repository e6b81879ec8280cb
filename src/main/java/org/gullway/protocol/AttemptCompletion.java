package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * An attempt that has certainly ended, on its way from the controller of its machine to the keeper of its job. Such
 * an end stays true for ever, so it may come late and more than once.
 */
public record AttemptCompletion(TaskId task, long attempt, byte outcome) {
    public static final int MAX_PER_MESSAGE = 500;
    private static final int VERSION = 1;

    /** The body of a message to a peer; it holds at most {@link #MOST_TOGETHER}, which the caller sees to. */
    public static byte[] encode(List<AttemptCompletion> notices) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(32 * notices.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeShort(notices.size());
            for (AttemptCompletion notice : notices) {
                out.writeUTF(notice.task.job());
                out.writeInt(notice.task.index());
                out.writeLong(notice.attempt);
                out.writeByte(notice.outcome);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedMessageException if it is cut off, too long, or of another version
     */
    public static List<AttemptCompletion> decode(byte[] body) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            if (in.readUnsignedByte() != VERSION) {
                throw new MalformedMessageException("unknown version of ends");
            }
            int count = in.readUnsignedShort();
            if (count > MAX_PER_MESSAGE) {
                throw new MalformedMessageException("too many ends together");
            }
            List<AttemptCompletion> notices = new ArrayList<>(count);
            for (int i = 0; i < count; i++) {
                notices.add(
                        new AttemptCompletion(new TaskId(in.readUTF(), in.readInt()), in.readLong(), in.readByte()));
            }
            if (in.read() >= 0) {
                throw new MalformedMessageException("bytes after ends");
            }
            return notices;
        } catch (IOException e) {
            throw new MalformedMessageException("cut-off ends");
        }
    }
}
