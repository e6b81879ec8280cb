package org.gullway.protocol;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What a controller knows of cancelled jobs whose tasks may still be on machines, for a peer that has lost the state
 * service. The peer names the jobs that it knows already.
 *
 * @param node the controller that answers
 * @param number of its process, which no other process has
 * @param complete whether nothing was left out for its size
 */
public record PeerCancellations(String node, long number, boolean complete, List<CancelledJob> jobs) {
    private static final int VERSION = 1;
    private static final int MAX_KNOWN_JOBS = 4000;
    private static final int MAX_BYTES = 40 * 1024;
    private static final int MAX_ATTEMPTS = 10_000;

    /** A cancelled job: when that was, as the time of day in milliseconds, and its attempts that may still be live. */
    public record CancelledJob(String id, long cancelledAt, List<CancelledAttempt> attempts) {}

    /** One attempt of a task in a session of a machine. */
    public record CancelledAttempt(int task, long attempt, String machine, long agentEpoch) {}

    /** The body of a request: the names of the cancelled jobs that the asker knows, 4000 at most. */
    public static byte[] encodeKnown(Collection<String> jobs) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(16 * jobs.size());
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(VERSION);
            out.writeShort(Math.min(jobs.size(), MAX_KNOWN_JOBS));
            int left = MAX_KNOWN_JOBS;
            for (String job : jobs) {
                if (left-- > 0) {
                    out.writeUTF(job);
                }
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /** Reads the names that {@link #encodeKnown} wrote. */
    public static Set<String> decodeKnown(byte[] body) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            checkVersion(in);
            int count = in.readUnsignedShort();
            Set<String> jobs = new HashSet<>();
            for (int i = 0; i < count; i++) {
                jobs.add(in.readUTF());
            }
            checkEnd(in);
            return jobs;
        } catch (IOException e) {
            throw new MalformedMessageException("cut-off names of cancelled jobs");
        }
    }

    /** As many of the jobs as fit into one message. */
    public static byte[] encode(String node, long number, Collection<CancelledJob> jobs) {
        ByteArrayOutputStream list = new ByteArrayOutputStream();
        int written = 0;
        try (DataOutputStream out = new DataOutputStream(list)) {
            for (CancelledJob job : jobs) {
                if (list.size() > MAX_BYTES) {
                    break;
                }
                write(job, out);
                written++;
            }
            ByteArrayOutputStream bytes = new ByteArrayOutputStream(list.size() + 64);
            try (DataOutputStream whole = new DataOutputStream(bytes)) {
                whole.writeByte(VERSION);
                whole.writeUTF(node);
                whole.writeLong(number);
                whole.writeBoolean(written == jobs.size());
                whole.writeShort(written);
                list.writeTo(whole);
            }
            return bytes.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(CancelledJob job, DataOutputStream out) throws IOException {
        out.writeUTF(job.id);
        out.writeLong(job.cancelledAt);
        out.writeInt(job.attempts.size());
        for (CancelledAttempt attempt : job.attempts) {
            out.writeInt(attempt.task);
            out.writeLong(attempt.attempt);
            out.writeUTF(attempt.machine);
            out.writeLong(attempt.agentEpoch);
        }
    }

    /**
     * Reads an answer as the peer encoded it.
     *
     * @throws MalformedMessageException if it is cut off, has bytes left over, or is of another version
     */
    public static PeerCancellations decode(byte[] body) throws MalformedMessageException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
            checkVersion(in);
            String node = in.readUTF();
            long number = in.readLong();
            boolean complete = in.readBoolean();
            int count = in.readUnsignedShort();
            List<CancelledJob> jobs = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                jobs.add(readJob(in));
            }
            checkEnd(in);
            return new PeerCancellations(node, number, complete, List.copyOf(jobs));
        } catch (IOException e) {
            throw new MalformedMessageException("cut-off cancellations");
        }
    }

    private static CancelledJob readJob(DataInputStream in) throws IOException, MalformedMessageException {
        String id = in.readUTF();
        long cancelledAt = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > MAX_ATTEMPTS) {
            throw new MalformedMessageException("too many attempts of " + id);
        }
        List<CancelledAttempt> attempts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            attempts.add(new CancelledAttempt(in.readInt(), in.readLong(), in.readUTF(), in.readLong()));
        }
        return new CancelledJob(id, cancelledAt, List.copyOf(attempts));
    }

    private static void checkVersion(DataInputStream in) throws IOException, MalformedMessageException {
        if (in.readUnsignedByte() != VERSION) {
            throw new MalformedMessageException("unknown version of cancellations");
        }
    }

    private static void checkEnd(DataInputStream in) throws IOException, MalformedMessageException {
        if (in.read() >= 0) {
            throw new MalformedMessageException("bytes after cancellations");
        }
    }
}
