package org.gullway.protocol;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/**
 * A controller's request to a peer for cancelled jobs that the requesting controller does not know. {@link
 * PeerCancellations} is the response. The request lists the jobs that are known already. If they do not all fit into
 * one request, it asks only about the jobs whose ids lie in a range, and further requests ask about the ranges that
 * follow.
 *
 * @param after the range contains only ids after this one; empty if it has no lower bound
 * @param through the range contains only ids up to this one; empty if it has no upper bound
 * @param knownJobs ids of the known jobs in the range
 */
public record CancellationQuery(String after, String through, Set<String> knownJobs) {
    /** The version of a request without a range. */
    private static final int VERSION = 1;
    /** The version of a request with a range. */
    private static final int RANGE_VERSION = 2;

    private static final String CONTENT = "ids of cancelled jobs";
    private static final int MAX_ID_BYTES = "run-".length() + JobRequest.MAX_ID_DIGITS;
    /** The version, the bounds of the range and the number of ids. */
    private static final int MAX_HEADER_BYTES = 1 + 2 * (Short.BYTES + MAX_ID_BYTES) + Short.BYTES;

    /**
     * Returns the request about the range that begins after this id, up to the last known job that fits into it.
     *
     * @param known ids of all jobs that are known already
     */
    public static CancellationQuery startingAfter(String after, Collection<String> known) {
        Set<String> fitting = new TreeSet<>();
        int bytes = MAX_HEADER_BYTES;
        String last = after;
        for (String job : new TreeSet<>(known).tailSet(after, false)) {
            // Job ids are ASCII, so each character takes one byte.
            bytes += Short.BYTES + job.length();
            if (bytes > MessageLimits.MAX_MESSAGE_BYTES) {
                return new CancellationQuery(after, last, fitting);
            }
            fitting.add(job);
            last = job;
        }
        return new CancellationQuery(after, "", fitting);
    }

    /** Returns whether no range follows. */
    public boolean isLast() {
        return through.isEmpty();
    }

    /** Returns whether the response must contain this job, if it is a cancelled one. */
    public boolean asksFor(String job) {
        return job.compareTo(after) > 0 && (isLast() || job.compareTo(through) <= 0) && !knownJobs.contains(job);
    }

    /** Encodes the request. Peers that do not know ranges understand it if it has none. */
    public byte[] encode() {
        boolean hasRange = !after.isEmpty() || !isLast();
        int expectedBytes = MAX_HEADER_BYTES + (Short.BYTES + MAX_ID_BYTES) * knownJobs.size();
        return PeerMessages.encode(hasRange ? RANGE_VERSION : VERSION, expectedBytes, out -> {
            if (hasRange) {
                out.writeUTF(after);
                out.writeUTF(through);
            }
            writeJobs(out);
        });
    }

    private void writeJobs(DataOutputStream out) throws IOException {
        out.writeShort(knownJobs.size());
        for (String job : knownJobs) {
            out.writeUTF(job);
        }
    }

    /** Decodes a request of {@link #encode}. */
    public static CancellationQuery decode(byte[] body) throws MalformedMessageException {
        boolean hasRange = body.length > 0 && body[0] == RANGE_VERSION;
        return hasRange
                ? PeerMessages.decode(body, RANGE_VERSION, CONTENT, CancellationQuery::readWithRange)
                : PeerMessages.decode(body, VERSION, CONTENT, in -> new CancellationQuery("", "", readJobs(in)));
    }

    private static CancellationQuery readWithRange(DataInputStream in) throws IOException, MalformedMessageException {
        String after = PeerMessages.readText(in);
        String through = PeerMessages.readText(in);
        return new CancellationQuery(after, through, readJobs(in));
    }

    private static Set<String> readJobs(DataInputStream in) throws IOException, MalformedMessageException {
        int count = in.readUnsignedShort();
        Set<String> jobs = new HashSet<>();
        for (int i = 0; i < count; i++) {
            jobs.add(PeerMessages.readText(in));
        }
        return jobs;
    }
}
