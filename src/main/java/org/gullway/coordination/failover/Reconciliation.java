package org.gullway.coordination.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.quota.LostMemberQuota;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * Reconciles records after the loss of a machine or a member: tasks whose attempts have certainly ended wait again,
 * jobs of a lost owner are transferred to another member, unused quota of lost members is released and shards are
 * balanced.
 */
public final class Reconciliation implements PlanningStep {
    /** Short compared with the seconds that it takes to detect a loss, so that it hardly delays the recovery. */
    private static final Duration INTERVAL = Duration.ofMillis(250);
    /** Keys that one job may change: its record, its final state, and the quota partitions of both owners. */
    private static final int CHANGES_PER_JOB = 4;

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final String self;
    private final RandomGenerator random;
    private final ShardBalancer shardBalancer;
    private Instant plannedAt = Instant.MIN;
    private long checkedPlacements;

    public Reconciliation(ClusterState clusterState, TeamQuotas quotas, String self, RandomGenerator random) {
        this.clusterState = clusterState;
        this.quotas = quotas;
        this.self = self;
        this.random = random;
        this.shardBalancer = new ShardBalancer(clusterState);
    }

    /** Each job is reconciled by one controller: its owner, or the leader if it is reserved or its owner is lost. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        if (plannedAt.plus(INTERVAL).isAfter(now)) {
            return;
        }
        plannedAt = now;
        for (JobRecord job : clusterState.jobs()) {
            boolean orphaned = !job.isReserved() && !clusterState.members().containsKey(job.owner());
            boolean responsible = (job.isReserved() || orphaned) ? context.leader() : self.equals(job.owner());
            if (responsible && transaction.hasCapacityFor(CHANGES_PER_JOB)) {
                reconcile(transaction, job, orphaned);
            }
        }
        if (context.leader()) {
            LostMemberQuota.releaseUnused(transaction, clusterState, quotas);
            shardBalancer.plan(transaction, now);
        }
    }

    // An unchanged record is the same instance, so that no comparison of all its placements is needed.
    @SuppressWarnings("ReferenceEquality")
    private void reconcile(Transaction transaction, JobRecord known, boolean orphaned) {
        String id = known.request().id();
        JobRecord planned = transaction.job(id);
        if (planned == null) {
            return;
        }
        JobRecord next = planned;
        if (planned != known || clusterState.hasUncheckedPlacements(id)) {
            next = withoutLostAttempts(planned);
            if (next != planned) {
                transaction.putJob(next);
            } else if (planned == known) {
                clusterState.markPlacementsChecked(id);
            }
        }
        if (planned == known && known.isFinished()) {
            // Only the cancellation of a job without live placements leaves a finished job on record.
            transaction.putJob(known);
        }
        if (orphaned && !next.isFinished() && !clusterState.members().isEmpty()) {
            LostMemberQuota.transferJob(transaction, clusterState, next, randomMember());
        }
    }

    private String randomMember() {
        List<String> members = new ArrayList<>(clusterState.members().keySet());
        return members.get(random.nextInt(members.size()));
    }

    /**
     * This job without its lost attempts, and with the rest of an incomplete gang marked as stopping; the same instance
     * if nothing changes.
     */
    private JobRecord withoutLostAttempts(JobRecord job) {
        checkedPlacements += job.livePlacements().size();
        Map<Placement, JobRecord.AttemptOutcome> lost = new HashMap<>();
        for (Placement placement : job.livePlacements()) {
            MachineRecord machine = clusterState.machine(placement.machine());
            // A machine's record is removed only after the cloud provider has confirmed that the machine no longer
            // exists; its attempts have then ended. Attempts of an earlier agent epoch have ended as well.
            if (machine == null || machine.agentEpoch().isGreaterThan(placement.agentEpoch())) {
                lost.put(placement, JobRecord.AttemptOutcome.STOPPED);
            }
        }
        JobRecord next = lost.isEmpty() ? job : job.withoutEndedAttempts(lost);
        boolean gangIncomplete = next.isGang()
                && next.waitingTasks() > 0
                && next.livePlacements().stream().anyMatch(placement -> !placement.stopping());
        // A gang that has lost a task is stopped and started again as a whole.
        return gangIncomplete ? next.withStopping(placement -> true) : next;
    }

    /** Number of placements that were checked for lost machines so far. */
    long checkedPlacements() {
        return checkedPlacements;
    }
}
