package org.gullway.coordination.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.quota.QuotaPartitioner;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * Puts right what the loss of a machine or a member leaves behind: attempts that are certainly gone wait again, jobs
 * whose owner is lost get another one, and machines are dealt out evenly again.
 */
public final class Reconciliation implements PlanningStep {
    /** What is lost has been missing for seconds by then. */
    private static final Duration EVERY = Duration.ofMillis(250);

    private static final Duration BALANCE_EVERY = Duration.ofSeconds(5);

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final String self;
    private final RandomGenerator random;
    private Instant proposedAt = Instant.MIN;
    private Instant balancedAt = Instant.MIN;
    private long checkedPlacements;

    public Reconciliation(ClusterState clusterState, TeamQuotas quotas, String self, RandomGenerator random) {
        this.clusterState = clusterState;
        this.quotas = quotas;
        this.self = self;
        this.random = random;
    }

    /**
     * Adds what puts records right whose machine or owner is gone. Each record is left to one controller: its owner, or
     * the leader if it has none among the members.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        boolean leading = context.leader();
        if (proposedAt.plus(EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        for (JobRecord job : clusterState.jobs()) {
            boolean orphaned = !job.isReserved() && !clusterState.members().containsKey(job.owner());
            if ((job.isReserved() || orphaned ? leading : self.equals(job.owner())) && transaction.hasCapacityFor(4)) {
                repair(transaction, job, orphaned);
            }
        }
        if (leading) {
            QuotaPartitioner.releaseLostMembers(transaction, clusterState, quotas);
            balance(transaction, now);
        }
    }

    private void repair(Transaction transaction, JobRecord known, boolean orphaned) {
        JobRecord job = transaction.job(known.request().id());
        if (job == null) {
            return;
        }
        JobRecord next = job;
        if (job != known || clusterState.hasUncheckedPlacements(known.request().id())) {
            next = withoutLost(job);
            if (next != job) {
                transaction.putJob(next);
            } else if (job == known) {
                clusterState.markPlacementsChecked(known.request().id());
            }
        }
        if (orphaned && !next.isFinished() && !clusterState.members().isEmpty()) {
            List<String> members = new ArrayList<>(clusterState.members().keySet());
            QuotaPartitioner.transferJob(transaction, clusterState, next, members.get(random.nextInt(members.size())));
        }
    }

    /** The record with lost attempts ended; the same if there are none. */
    private JobRecord withoutLost(JobRecord job) {
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
        if (next.isGang()
                && next.waitingTasks() > 0
                && next.livePlacements().stream().anyMatch(p -> !p.stopping())) {
            // A gang of which a task is lost starts again as a whole.
            next = next.withStopping(p -> true);
        }
        return next;
    }

    /** How many placements were checked so far. */
    long checkedPlacements() {
        return checkedPlacements;
    }

    /** Moves groups from the controller with most machines to the one with fewest, after one has come back. */
    private void balance(Transaction transaction, Instant now) {
        if (balancedAt.plus(BALANCE_EVERY).isAfter(now)
                || clusterState.members().size() < 2) {
            return;
        }
        balancedAt = now;
        Map<Incarnation, Integer> counts = new HashMap<>();
        clusterState.members().values().forEach(member -> counts.put(member, 0));
        clusterState
                .shards()
                .forEach(shard -> counts.computeIfPresent(
                        shard.controller(), (c, n) -> n + shard.machines().size()));
        for (MachineShard shard : clusterState.shards()) {
            Incarnation fewest = Collections.min(
                            counts.entrySet(),
                            Map.Entry.<Incarnation, Integer>comparingByValue()
                                    .thenComparing(e -> e.getKey().node()))
                    .getKey();
            int size = shard.machines().size();
            if (counts.containsKey(shard.controller())
                    && transaction.hasCapacityFor(2)
                    && counts.get(shard.controller()) - counts.get(fewest) > size + MachineShard.MAX_MACHINES / 2) {
                transaction.putShard(transaction.shard(shard.id()).claimedBy(fewest, transaction.nextFencingToken()));
                counts.merge(shard.controller(), -size, Integer::sum);
                counts.merge(fewest, size, Integer::sum);
            }
        }
    }
}
