package org.gullway.coordination.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.gullway.protocol.JobRequest;

/**
 * The rule for how many tasks of one job can be placed at the same time. The job's record lists all placements, and the
 * state store limits the size of a record. Tasks beyond this limit cannot start until others have ended, however many
 * resources are free, so no resources are released, provisioned or held back for them.
 */
public final class RecordCapacity {
    /** How late the placements of a new job may be that {@link #maxSimultaneousTasks} allows for. */
    private static final Duration MAX_WAIT = Duration.ofDays(365);

    private final ClusterState clusterState;
    private final int valueBytes;
    private final InstantSource wallClockTime;

    /**
     * @param valueBytes maximum size of a record
     * @param wallClockTime returns the time of the placements
     */
    public RecordCapacity(ClusterState clusterState, int valueBytes, InstantSource wallClockTime) {
        this.clusterState = clusterState;
        this.valueBytes = valueBytes;
        this.wallClockTime = wallClockTime;
    }

    /** Returns how many of the job's waiting tasks its record has room for. */
    public int startableTasks(JobRecord job) {
        int waiting = job.waitingTasks();
        if (waiting == 0) {
            return 0;
        }
        if (hasRoomByCounts(job)) {
            return waiting;
        }
        int placementBytes = maxPlacementBytes(job);
        return hasRoomForAllTasks(job, placementBytes)
                ? waiting
                : Math.min(waiting, remainingPlacements(job, placementBytes));
    }

    /** Returns how many of the job's tasks are placed or can be placed now. */
    public int activeTasks(JobRecord job) {
        return job.livePlacements().size() + startableTasks(job);
    }

    /**
     * Returns how many tasks of a new job its record can list as placed at the same time, on machines whose names are
     * no longer than those on record.
     */
    public int maxSimultaneousTasks(JobRequest request) {
        Instant submittedAt = wallClockTime.instant();
        JobRecord job = JobRecord.accepted(request, null, submittedAt);
        int placementBytes = JobRecordSize.maxBytesOfNextPlacement(
                job, clusterState.longestMachineFields(), submittedAt.plus(MAX_WAIT));
        return Math.min(request.tasks(), remainingPlacements(job, placementBytes));
    }

    /**
     * Returns true only if the record has room for all unfinished tasks; false means unknown. This is the fastest of
     * the three checks, and suffices for most jobs.
     */
    private boolean hasRoomByCounts(JobRecord job) {
        return JobRecordSize.roughMaxBytesWithAllTasksPlaced(job, clusterState.longestMachineFields()) <= valueBytes;
    }

    /**
     * Returns true only if the record has room even if every unfinished task takes as much space as the next one; false
     * means unknown. This is faster than {@link #remainingPlacements}, which measures each placement.
     */
    private boolean hasRoomForAllTasks(JobRecord job, int placementBytes) {
        long placementsBytes = (long) job.unfinishedTasks() * placementBytes;
        return JobRecordSize.maxBytesWithoutPlacements(job) + placementsBytes <= valueBytes;
    }

    private int remainingPlacements(JobRecord job, int placementBytes) {
        return Math.max(0, (valueBytes - job.maxEncodedBytes()) / placementBytes);
    }

    /** Returns the upper bound for the size of each of the job's next placements. */
    int maxPlacementBytes(JobRecord job) {
        return JobRecordSize.maxBytesOfNextPlacement(job, clusterState.longestMachineFields(), wallClockTime.instant());
    }
}
