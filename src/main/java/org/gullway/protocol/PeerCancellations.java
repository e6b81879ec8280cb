package org.gullway.protocol;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * A controller's response to a peer that cannot reach the state store. The response lists the cancelled jobs that the
 * responding controller knows and whose tasks may still be on machines, as far as the peer's {@link CancellationQuery}
 * asks for them.
 *
 * @param node the name of the responding controller, as in its incarnation
 * @param incarnationNumber the number of the responding controller's incarnation, different in each of its runs
 * @param complete whether the response has all these jobs; false if some were left out because of its size
 */
public record PeerCancellations(String node, long incarnationNumber, boolean complete, List<CancelledJob> jobs) {
    private static final int VERSION = 1;
    private static final int CONTENT_BYTES_THRESHOLD = 40 * 1024;
    private static final int HEADER_BYTES = 64;
    private static final int MAX_ATTEMPTS = 10_000;
    private static final String CONTENT = "cancellations";

    /**
     * A cancelled job.
     *
     * @param cancelledAt wall-clock time of the cancellation in milliseconds since 1970-01-01 UTC
     * @param attempts the attempts that may still run
     */
    public record CancelledJob(String id, long cancelledAt, List<CancelledAttempt> attempts) {}

    /** One attempt of a task, with its machine and the epoch of the agent on that machine. */
    public record CancelledAttempt(int task, Count attempt, String machine, Count agentEpoch) {}

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
            PeerMessages.writeUnsignedLong(out, attempt.attempt);
            out.writeUTF(attempt.machine);
            PeerMessages.writeUnsignedLong(out, attempt.agentEpoch);
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
            attempts.add(new CancelledAttempt(
                    in.readInt(),
                    PeerMessages.readUnsignedLong(in),
                    PeerMessages.readText(in),
                    PeerMessages.readUnsignedLong(in)));
        }
        return new CancelledJob(id, cancelledAt, List.copyOf(attempts));
    }
}
