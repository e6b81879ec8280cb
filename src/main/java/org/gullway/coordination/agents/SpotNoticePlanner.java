package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;

/**
 * Acts on spot notices. Tasks with checkpoints are stopped early enough to save one. When the notice period ends, the
 * machine is declared lost, so that it is released without waiting for the failure detector.
 */
final class SpotNoticePlanner {
    /** Time for a stop command to reach the agent. */
    private static final Duration STOP_MARGIN = Duration.ofSeconds(1);

    private final ClusterState clusterState;

    SpotNoticePlanner(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    void plan(Transaction transaction, MachineRecord record, AgentState agent, Instant now) {
        Instant terminationAt = agent.spotTerminationAt();
        if (terminationAt == null) {
            return;
        }
        if (now.isBefore(terminationAt)) {
            clusterState
                    .placementsOn(record.name())
                    .forEach((id, placement) ->
                            stopInTime(transaction, transaction.job(id.task().job()), placement, terminationAt, now));
        } else if (record.lifecycle() != MachineLifecycle.LOST && transaction.canPutMachine(record.name())) {
            transaction.putMachine(record.withLifecycle(MachineLifecycle.LOST));
        }
    }

    private static void stopInTime(
            Transaction transaction, JobRecord job, Placement placement, Instant terminationAt, Instant now) {
        // Requires capacity for two changes, like Transaction#canPutJob, which allows for a job that ends: its record
        // and its final state are two keys.
        if (job == null || !job.request().hasCheckpoints() || !transaction.hasCapacityFor(2)) {
            return;
        }
        Placement current = job.placementOf(placement.task(), placement.attempt());
        Instant latestStop = terminationAt.minus(CommandPlanner.grace(job)).minus(STOP_MARGIN);
        if (current != null && !current.stopping() && !now.isBefore(latestStop)) {
            transaction.putJob(job.withStopping(current::equals));
        }
    }
}
