package org.gullway.protocol;

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
 * The cancelled jobs known to a controller whose tasks may still be on machines, for a peer that cannot reach the state store.
 * The peer names the jobs that it knows already.
 *
 * @param node the controller that answers
 * @param incarnationNumber the number of its incarnation
 * @param complete whether nothing was left out for its size
 */
public record PeerCancellations(String node, long incarnationNumber, boolean complete, List<CancelledJob> jobs) {
    private static final int VERSION = 1;
    private static final int MAX_KNOWN_JOBS = 4000;
    private static final int MAX_BYTES = 40 * 1024;
    private static final int HEADER_BYTES = 64;
    private static final int EXPECTED_NAME_BYTES = 16;
    private static final int MAX_ATTEMPTS = 10_000;
    private static final String CONTENT = "cancellations";
    private static final String KNOWN_CONTENT = "names of cancelled jobs";

    /**
     * A cancelled job.
     *
     * @param cancelledAt wall-clock time in milliseconds
     * @param attempts those that may still be live
     */
    public record CancelledJob(String id, long cancelledAt, List<CancelledAttempt> attempts) {}

    /** One attempt of a task, in an epoch of its machine's agent. */
    public record CancelledAttempt(int task, long attempt, String machine, long agentEpoch) {}

    /** Encodes a request: the names of the cancelled jobs that the asker knows, {@link #MAX_KNOWN_JOBS} at most. */
    public static byte[] encodeKnownJobs(Collection<String> jobs) {
        return PeerMessages.encode(VERSION, EXPECTED_NAME_BYTES * jobs.size(), out -> {
            out.writeShort(Math.min(jobs.size(), MAX_KNOWN_JOBS));
            int left = MAX_KNOWN_JOBS;
            for (String job : jobs) {
                if (left-- > 0) {
                    out.writeUTF(job);
                }
            }
        });
    }

    /** Reads the names that {@link #encodeKnownJobs} wrote. */
    public static Set<String> decodeKnownJobs(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, KNOWN_CONTENT, PeerCancellations::readNames);
    }

    private static Set<String> readNames(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        Set<String> jobs = new HashSet<>();
        for (int i = 0; i < count; i++) {
            jobs.add(in.readUTF());
        }
        return jobs;
    }

    /** Encodes as many of the jobs as fit into one message. */
    public static byte[] encode(String node, long incarnationNumber, Collection<CancelledJob> jobs) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(content)) {
            int written = 0;
            for (CancelledJob job : jobs) {
                if (content.size() > MAX_BYTES) {
                    break;
                }
                write(job, out);
                written++;
            }
            return withHeader(node, incarnationNumber, written == jobs.size(), written, content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] withHeader(
            String node, long incarnationNumber, boolean complete, int count, ByteArrayOutputStream content) {
        return PeerMessages.encode(VERSION, content.size() + HEADER_BYTES, out -> {
            out.writeUTF(node);
            out.writeLong(incarnationNumber);
            out.writeBoolean(complete);
            out.writeShort(count);
            content.writeTo(out);
        });
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
     * Reads what {@link #encode} wrote.
     *
     * @throws MalformedMessageException if it is truncated, has bytes left over, or is of another version
     */
    public static PeerCancellations decode(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, CONTENT, PeerCancellations::read);
    }

    private static PeerCancellations read(DataInputStream in) throws IOException, MalformedMessageException {
        String node = in.readUTF();
        long incarnationNumber = in.readLong();
        boolean complete = in.readBoolean();
        int count = in.readUnsignedShort();
        List<CancelledJob> jobs = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            jobs.add(readJob(in));
        }
        return new PeerCancellations(node, incarnationNumber, complete, List.copyOf(jobs));
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
}
