package org.gullway.coordination.model;

import java.time.Duration;
import java.time.Instant;
import org.gullway.protocol.JsonSize;

/**
 * Upper bounds for the encoded size of a job's record, as the state store measures it. They allow for what the record
 * may grow by without a new placement: a cancellation, another owner, and a mark on each placement that is stopped. A
 * completed task never makes a record larger, since its placement takes more space than a range of completed tasks.
 */
final class JobRecordSize {
    /** All fields except the request, the owner, the placements and the completed tasks. */
    private static final String OTHER_FIELDS = "{\"request\":,\"owner\":,\"cancelled\":" + Long.MAX_VALUE
            + ",\"submitted\":" + Long.MAX_VALUE + ",\"attempts\":" + Long.MAX_VALUE + ",\"errors\":"
            + Integer.MAX_VALUE + ",\"done\":[],\"live\":[],\"stopping\":[]}";
    /** Room for the name of another owner. */
    private static final int MIN_OWNER_BYTES = 64;
    /** Brackets and separators of a placement, and the separator of its mark if it is stopped. */
    private static final int PLACEMENT_PUNCTUATION_BYTES = "[,,,,],,".length();

    private JobRecordSize() {}

    static int maxBytes(JobRecord job) {
        int bytes = maxBytesWithoutPlacements(job);
        for (Placement placement : job.livePlacements()) {
            bytes += maxBytes(job, placement);
        }
        return bytes;
    }

    static int maxBytesWithoutPlacements(JobRecord job) {
        int bytes = OTHER_FIELDS.length() + job.request().maxJsonBytes();
        bytes += job.owner() == null ? MIN_OWNER_BYTES : Math.max(MIN_OWNER_BYTES, JsonSize.ofText(job.owner()));
        return bytes + job.completedTasks().jsonBytes();
    }

    /** The size of a placement that shares its machine and time with no other one. */
    private static int maxBytes(JobRecord job, Placement placement) {
        return PLACEMENT_PUNCTUATION_BYTES
                + JsonSize.ofText(placement.machine())
                + JsonSize.ofInteger(placement.agentEpoch())
                + JsonSize.ofInteger(millisSinceSubmission(job, placement.placedAt()))
                + 2 * JsonSize.ofInteger(placement.task())
                + JsonSize.ofInteger(placement.attempt());
    }

    private static long millisSinceSubmission(JobRecord job, Instant placedAt) {
        return Duration.between(job.submittedAt(), placedAt).toMillis();
    }

    /**
     * An upper bound for the size of each of the job's next placements.
     *
     * @param longest the names and agent epochs of all machines are no longer than these
     * @param placedAt wall-clock time of the placements
     */
    static int maxBytesOfNextPlacement(JobRecord job, LongestMachineFields longest, Instant placedAt) {
        return PLACEMENT_PUNCTUATION_BYTES
                + longest.nameBytes()
                + longest.agentEpochBytes()
                + JsonSize.ofInteger(millisSinceSubmission(job, placedAt))
                + 2 * JsonSize.ofInteger(job.request().tasks())
                + JsonSize.ofInteger(job.attemptCount() + job.request().tasks());
    }
}
