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
 * A controller's response to a peer that cannot reach the state store. The response lists the cancelled jobs that the
 * responding controller knows and whose tasks may still be on machines, except those that the peer's request names.
 *
 * @param node the name of the responding controller, as in its incarnation
 * @param incarnationNumber the number of the responding controller's incarnation, different in each of its runs
 * @param complete whether the response has all these jobs; false if some were left out because of its size
 */
public record PeerCancellations(String node, long incarnationNumber, boolean complete, List<CancelledJob> jobs) {
    private static final int VERSION = 1;
    /** A request without job ids: the version and their number. */
    private static final int KNOWN_HEADER_BYTES = 1 + Short.BYTES;

    private static final int CONTENT_BYTES_THRESHOLD = 40 * 1024;
    private static final int HEADER_BYTES = 64;
    private static final int EXPECTED_JOB_ID_BYTES = 16;
    private static final int MAX_ATTEMPTS = 10_000;
    private static final String CONTENT = "cancellations";
    private static final String KNOWN_CONTENT = "ids of cancelled jobs";

    /**
     * A cancelled job.
     *
     * @param cancelledAt wall-clock time of the cancellation in milliseconds since 1970-01-01 UTC
     * @param attempts the attempts that may still run
     */
    public record CancelledJob(String id, long cancelledAt, List<CancelledAttempt> attempts) {}

    /** One attempt of a task, with its machine and the epoch of the agent on that machine. */
    public record CancelledAttempt(int task, long attempt, String machine, long agentEpoch) {}

    /**
     * Encodes a request, which lists the cancelled jobs that the requesting controller knows already. Jobs that do not
     * fit into one request are left out, so the response may contain them.
     */
    public static byte[] encodeKnownJobs(Collection<String> jobs) {
        List<String> fitting = firstThatFit(jobs);
        return PeerMessages.encode(VERSION, EXPECTED_JOB_ID_BYTES * fitting.size(), out -> {
            out.writeShort(fitting.size());
            for (String job : fitting) {
                out.writeUTF(job);
            }
        });
    }

    /** Job ids are ASCII, so each character takes one byte. */
    private static List<String> firstThatFit(Collection<String> jobs) {
        List<String> fitting = new ArrayList<>();
        int bytes = KNOWN_HEADER_BYTES;
        for (String job : jobs) {
            bytes += Short.BYTES + job.length();
            if (bytes > MessageLimits.MAX_MESSAGE_BYTES) {
                break;
            }
            fitting.add(job);
        }
        return fitting;
    }

    /** Decodes the job ids in a request of {@link #encodeKnownJobs}. */
    public static Set<String> decodeKnownJobs(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, KNOWN_CONTENT, PeerCancellations::readJobIds);
    }

    private static Set<String> readJobIds(DataInputStream in) throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        Set<String> jobs = new HashSet<>();
        for (int i = 0; i < count; i++) {
            jobs.add(PeerMessages.readText(in));
        }
        return jobs;
    }

    /**
     * Encodes a response. Once its jobs take more than {@link #CONTENT_BYTES_THRESHOLD} bytes, the other jobs are left
     * out and {@code complete} is false.
     */
    public static byte[] encode(String node, long incarnationNumber, Collection<CancelledJob> jobs) {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(content)) {
            int written = 0;
            for (CancelledJob job : jobs) {
                if (content.size() > CONTENT_BYTES_THRESHOLD) {
                    break;
                }
                writeJob(job, out);
                written++;
            }
            return encodeWithHeader(node, incarnationNumber, written == jobs.size(), written, content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static byte[] encodeWithHeader(
            String node, long incarnationNumber, boolean complete, int count, ByteArrayOutputStream content) {
        return PeerMessages.encode(VERSION, content.size() + HEADER_BYTES, out -> {
            out.writeUTF(node);
            out.writeLong(incarnationNumber);
            out.writeBoolean(complete);
            out.writeShort(count);
            content.writeTo(out);
        });
    }

    private static void writeJob(CancelledJob job, DataOutputStream out) throws IOException {
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
     * Decodes a response of {@link #encode}.
     *
     * @throws MalformedMessageException if the response is truncated, has trailing bytes or another version, or a
     *     job with more than {@link #MAX_ATTEMPTS} attempts
     */
    public static PeerCancellations decode(byte[] body) throws MalformedMessageException {
        return PeerMessages.decode(body, VERSION, CONTENT, PeerCancellations::readResponse);
    }

    private static PeerCancellations readResponse(DataInputStream in) throws IOException, MalformedMessageException {
        String node = PeerMessages.readText(in);
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
        String id = PeerMessages.readText(in);
        long cancelledAt = in.readLong();
        int count = in.readInt();
        if (count < 0 || count > MAX_ATTEMPTS) {
            throw new MalformedMessageException(
                    "invalid number of attempts " + count + " of " + id + ", the limit is " + MAX_ATTEMPTS);
        }
        List<CancelledAttempt> attempts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            attempts.add(new CancelledAttempt(in.readInt(), in.readLong(), PeerMessages.readText(in), in.readLong()));
        }
        return new CancelledJob(id, cancelledAt, List.copyOf(attempts));
    }
}
