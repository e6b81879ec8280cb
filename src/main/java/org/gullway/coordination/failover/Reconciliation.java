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
 * Reconciles records after the loss of a machine or a member: attempts that are certainly gone are waiting tasks again,
 * jobs of a lost owner get another one, quota partitions of lost members are released and shards are balanced.
 */
public final class Reconciliation implements PlanningStep {
    /** Short beside the seconds after which a loss is noticed. */
    private static final Duration INTERVAL = Duration.ofMillis(250);
    /** A job's record, its final state, and the quota partitions of both owners. */
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

    /** Each record is reconciled by one controller: its owner, or the leader if no member owns it. */
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

    // Instances are shared while nothing has changed; comparing values would cost as much as the change.
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
        if (orphaned && !next.isFinished() && !clusterState.members().isEmpty()) {
            LostMemberQuota.transferJob(transaction, clusterState, next, randomMember());
        }
    }

    private String randomMember() {
        List<String> members = new ArrayList<>(clusterState.members().keySet());
        return members.get(random.nextInt(members.size()));
    }

    /** The record with lost attempts ended; the same instance if there are none. */
    private JobRecord withoutLostAttempts(JobRecord job) {
        checkedPlacements += job.livePlacements().size();
        Map<Placement, JobRecord.AttemptOutcome> lost = new HashMap<>();
        for (Placement placement : job.livePlacements()) {
            MachineRecord machine = clusterState.machine(placement.machine());
            // A machine leaves the records only after the cloud has confirmed that it is gone.
            if (machine == null || machine.agentEpoch() > placement.agentEpoch()) {
                lost.put(placement, JobRecord.AttemptOutcome.STOPPED);
            }
        }
        JobRecord next = lost.isEmpty() ? job : job.withCompletions(lost);
        boolean gangIncomplete = next.isGang()
                && next.waitingTasks() > 0
                && next.livePlacements().stream().anyMatch(placement -> !placement.stopping());
        // A gang of which a task is lost starts again as a whole.
        return gangIncomplete ? next.withStopping(placement -> true) : next;
    }

    /** How many placements were checked so far. */
    long checkedPlacements() {
        return checkedPlacements;
    }
}
