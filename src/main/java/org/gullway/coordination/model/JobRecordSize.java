package org.gullway.coordination.model;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JsonSize;
import org.gullway.protocol.MessageFields;

/**
 * Upper bounds for the encoded size of a job's record, as the state store measures it. They allow for what the record
 * may grow by without a new placement: a cancellation, another owner, and a mark on each placement that is stopped. A
 * completed task never makes a record larger, since its placement takes more space than a range of completed tasks.
 */
final class JobRecordSize {
    /** All fields except the request, the owner, the placements and the completed tasks. */
    private static final String OTHER_FIELDS = "{\"request\":,\"owner\":,\"cancelled\":" + Long.MAX_VALUE
            + ",\"submitted\":" + Long.MAX_VALUE + ",\"attempts\":" + Count.MAX + ",\"errors\":"
            + Integer.MAX_VALUE + ",\"done\":[],\"live\":[],\"stopping\":[]}";
    /** Room for the name of another owner. */
    private static final int MIN_OWNER_BYTES = 64;
    /** Brackets and separators of a placement, and the separator of its mark if it is stopped. */
    private static final int PLACEMENT_PUNCTUATION_BYTES = "[,,,,],,".length();

    /** A range of completed tasks, with its separators. */
    private static final int MAX_RANGE_BYTES = 2 * (JsonSize.ofInteger(JobRequest.MAX_TASKS) + 1);
    /** A placement with the longest numbers, without its machine and agent epoch. */
    private static final int MAX_PLACEMENT_BYTES_WITHOUT_MACHINE = PLACEMENT_PUNCTUATION_BYTES
            + JsonSize.MAX_COUNT_BYTES
            + JsonSize.ofInteger(Long.MAX_VALUE)
            + 2 * JsonSize.ofInteger(JobRequest.MAX_TASKS);
    /** Any text of a request, or the name of an owner, with a separator. */
    private static final int MAX_TEXT_BYTES = JsonSize.maxOfText(MessageFields.MAX_TEXT_CHARACTERS) + 1;
    /** The fields of a request that are texts: class, team, image and zone. */
    private static final int REQUEST_TEXTS = 4;

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
                + JsonSize.ofCount(placement.agentEpoch())
                + JsonSize.ofInteger(millisSinceSubmission(job, placement.placedAt()))
                + 2 * JsonSize.ofInteger(placement.task())
                + JsonSize.ofCount(placement.attempt());
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
                + JsonSize.ofCount(job.attemptCount().plusOrMax(job.request().tasks()));
    }

    /**
     * An upper bound for the size of the record with all unfinished tasks placed, computed from counts only. Between two
     * ranges of completed tasks there is an unfinished one, so their number is limited, too.
     *
     * @param longest the names and agent epochs of all machines are no longer than these
     */
    static long roughMaxBytesWithAllTasksPlaced(JobRecord job, LongestMachineFields longest) {
        List<String> machineTypes = job.request().machineTypes();
        int texts = 1 + REQUEST_TEXTS + (machineTypes == null ? 0 : machineTypes.size());
        int fixedBytes = OTHER_FIELDS.length() + JobRequest.MAX_JSON_BYTES_WITHOUT_TEXTS + texts * MAX_TEXT_BYTES;
        int taskBytes =
                MAX_PLACEMENT_BYTES_WITHOUT_MACHINE + longest.nameBytes() + longest.agentEpochBytes() + MAX_RANGE_BYTES;
        return fixedBytes + (job.unfinishedTasks() + 1L) * taskBytes;
    }
}
