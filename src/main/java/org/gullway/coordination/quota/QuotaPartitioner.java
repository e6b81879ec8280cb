package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/**
 * Keeps the quota partitions that this controller holds as large as its jobs need. Each team's quota is partitioned
 * among the leader, for reserved jobs, and the owners of best-effort jobs. Only its holder changes a partition, except
 * that the partition of a lost member is reassigned.
 *
 * <p>A change requires that all other partitions are unchanged, so the sum of the partitions never exceeds the quota.
 * All controllers know all jobs: each sees what the others need, and reduces its own partition if they are short.
 */
public final class QuotaPartitioner implements PlanningStep {
    /** Allocating this part of the quota beyond the demand, where others do not need it, makes raises rare. */
    private static final double MAX_SPARE_FRACTION = 0.1;
    /** A smaller reduction is not worth a change of the store. */
    private static final double MIN_REDUCTION_FRACTION = 0.02;

    private static final Duration REDUCTION_INTERVAL = Duration.ofSeconds(2);
    /** Used while the store has changes to spare, since tasks wait for what others release. */
    private static final Duration FAST_REDUCTION_INTERVAL = Duration.ofMillis(50);

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final String ownPartition;
    private final Set<String> expectedPartitions = new TreeSet<>();
    /** For each partition that exists or may come into being, all others. */
    private final Map<String, List<String>> othersByPartition = new TreeMap<>();

    private final UnusedQuota unusedQuota = new UnusedQuota();
    private Instant reducedAt = Instant.MIN;

    /** What the adjustments of one scheduling cycle depend on. */
    private record Adjustment(Transaction transaction, QuotaDemand demand, boolean mayReduce, Instant now) {}

    /** What the adjusted partition holds of one resource, what of it is used, and what its jobs need. */
    private record Allocation(double amount, double used, QuotaDemand.ResourceDemand demand) {
        /** Whether completed tasks still have to release resources until the largest task of a stalled job fits. */
        boolean isAccumulating() {
            double largestTask = demand.largestStalledTask();
            return largestTask > 0 && amount >= largestTask && amount - used < largestTask;
        }

        boolean fitsSmallestTaskAfter(double raise) {
            return amount + raise - used >= demand.smallestWaitingTask() - EPSILON;
        }
    }

    /**
     * The other partitions' state of one resource.
     *
     * @param unallocated what no partition holds, this one included
     * @param shortage what the others need beyond what they hold
     * @param demand what the others need in all
     */
    private record OtherPartitions(double unallocated, double shortage, double demand) {
        boolean areShort() {
            return shortage > unallocated;
        }
    }

    /** @param controllers all controllers of the deployment, this one included */
    public QuotaPartitioner(ClusterState clusterState, TeamQuotas quotas, String self, Collection<String> controllers) {
        this.clusterState = clusterState;
        this.quotas = quotas;
        this.ownPartition = StoreKeys.quotaPartition(self);
        expectedPartitions.add(StoreKeys.LEADER_QUOTA);
        controllers.forEach(controller -> expectedPartitions.add(StoreKeys.quotaPartition(controller)));
    }

    /** Adjusts the partitions held here: this controller's, and the leader's while this controller leads. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        updateKnownPartitions();
        QuotaDemand demand = QuotaDemand.of(clusterState.jobs(), transaction.timeOfDay());
        List<String> held = context.leader() ? List.of(StoreKeys.LEADER_QUOTA, ownPartition) : List.of(ownPartition);
        Duration reductionInterval = context.hasSpareWriteCapacity() ? FAST_REDUCTION_INTERVAL : REDUCTION_INTERVAL;
        boolean mayReduce = !reducedAt.plus(reductionInterval).isAfter(now);
        Adjustment adjustment = new Adjustment(transaction, demand, mayReduce, now);
        for (String partition : held) {
            QuotaPartition before = transaction.quotaPartition(partition);
            QuotaPartition after = adjusted(adjustment, partition, before);
            if (!after.equals(before) && transaction.hasCapacityFor(1)) {
                transaction.put(partition, after);
                othersByPartition.get(partition).forEach(transaction::requireUnchanged);
                if (mayReduce) {
                    reducedAt = now;
                }
            }
        }
    }

    /** Includes partitions that were never written: their holders may be about to write them. */
    private void updateKnownPartitions() {
        Set<String> partitions = new TreeSet<>(expectedPartitions);
        partitions.addAll(clusterState.quotaPartitions().keySet());
        if (!partitions.equals(othersByPartition.keySet())) {
            othersByPartition.clear();
            for (String partition : partitions) {
                List<String> others = new ArrayList<>(partitions);
                others.remove(partition);
                othersByPartition.put(partition, others);
            }
        }
    }

    private QuotaPartition adjusted(Adjustment adjustment, String partition, QuotaPartition before) {
        QuotaPartition after = before;
        for (Settings.Team team : quotas.teams()) {
            QuotaPartition.Amount current = before.of(team.name());
            double cpus = targetAmount(adjustment, partition, new TeamResource(team, QuotaResource.CPUS));
            double gpus = targetAmount(adjustment, partition, new TeamResource(team, QuotaResource.GPUS));
            if (cpus != current.cpus() || gpus != current.gpus()) {
                after = after.with(team.name(), new QuotaPartition.Amount(cpus, gpus));
            }
        }
        return after;
    }

    private double targetAmount(Adjustment adjustment, String partition, TeamResource resource) {
        Allocation own = new Allocation(
                resource.allocatedTo(partition, adjustment.transaction()),
                resource.usedOf(partition, adjustment.transaction()),
                adjustment.demand().of(partition, resource));
        OtherPartitions others = others(adjustment, partition, resource, own.amount());
        boolean wasted = others.areShort() && own.amount() > own.used() && !own.isAccumulating();
        boolean yields = unusedQuota.mustYield(partition, resource, own.used(), wasted, adjustment.now());
        if (own.demand().total() > own.amount() && !yields) {
            double raise = raise(own, others, resource.quota());
            if (raise > EPSILON && own.fitsSmallestTaskAfter(raise)) {
                return own.amount() + raise;
            }
        }
        if (!others.areShort() || !adjustment.mayReduce()) {
            return own.amount();
        }
        return yields
                ? Math.min(own.amount(), own.used())
                : reducedAmount(adjustment, partition, resource, own, others);
    }

    private OtherPartitions others(Adjustment adjustment, String partition, TeamResource resource, double current) {
        double allocated = current;
        double shortage = 0;
        double totalDemand = 0;
        for (String other : othersByPartition.get(partition)) {
            double otherAmount = resource.allocatedTo(other, adjustment.transaction());
            double otherDemand = adjustment.demand().total(other, resource);
            allocated += otherAmount;
            shortage += Math.max(0, otherDemand - otherAmount);
            totalDemand += otherDemand;
        }
        return new OtherPartitions(Math.max(0, resource.quota() - allocated), shortage, totalDemand);
    }

    private static double raise(Allocation own, OtherPartitions others, double quota) {
        double missing = own.demand().total() - own.amount();
        double spare = Math.max(0, others.unallocated() - others.shortage() - missing);
        return Math.min(others.unallocated(), missing + Math.min(quota * MAX_SPARE_FRACTION, spare / 2));
    }

    /** The amount without what is not needed here, or is beyond the fair part of a contended quota. */
    private double reducedAmount(
            Adjustment adjustment, String partition, TeamResource resource, Allocation own, OtherPartitions others) {
        double quota = resource.quota();
        double needed = own.demand().total();
        double target = needed + others.demand() > quota
                ? FairDivision.amountOf(partition, othersByPartition.get(partition), adjustment.demand(), resource)
                : needed;
        double current = own.amount();
        double reduced = Math.max(
                own.used(), Math.min(current, Math.max(target, own.demand().largestStalledTask())));
        boolean worthwhile = current - reduced > quota * MIN_REDUCTION_FRACTION || (reduced == 0 && current > 0);
        return worthwhile ? reduced : current;
    }
}
