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
 * Adjusts the quota partitions that this controller holds to the demand of its jobs. A partition allocates a part of
 * every team's quota to its holder. Each controller holds one partition, for the best-effort jobs that it owns, and the
 * leader holds another one, for reserved jobs. Only the holder of a partition changes it, with one exception: {@link
 * LostMemberQuota} reduces the partition of a lost member and increases those of the new owners of its jobs.
 *
 * <p>A transaction of this class that changes a partition requires that all other partitions are unchanged, so the sum
 * of the partitions never exceeds the quota. The transactions of {@link LostMemberQuota} need no such condition,
 * because they never increase the sum. Every controller has the records of all jobs, so it knows the demand on the
 * other partitions and reduces its own partition when they need more than is unallocated.
 */
public final class QuotaPartitioner implements PlanningStep {
    /**
     * An increase may exceed the demand by up to this fraction of the quota, and by at most half of the amount that no
     * partition needs. With this spare amount a partition has to be increased less often.
     */
    private static final double MAX_SPARE_FRACTION = 0.1;
    /**
     * Reductions by up to this fraction of the quota are skipped, because each one costs a write to the state store. A
     * reduction to 0 is never skipped, nor is the reduction of an allocation that the holder must yield, see {@link
     * UnusedAllocationTracker}.
     */
    private static final double MIN_REDUCTION_FRACTION = 0.02;

    private static final Duration REDUCTION_INTERVAL = Duration.ofSeconds(2);
    /**
     * The interval while the state store has spare write capacity. The released quota then reaches the waiting tasks of
     * other partitions sooner.
     */
    private static final Duration FAST_REDUCTION_INTERVAL = Duration.ofMillis(50);

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final String ownPartition;
    private final Set<String> expectedPartitions = new TreeSet<>();
    /** Maps each existing or expected partition to all other ones. */
    private final Map<String, List<String>> othersByPartition = new TreeMap<>();

    private final UnusedAllocationTracker unusedAllocations = new UnusedAllocationTracker();
    private Instant reductionIntervalStart = Instant.MIN;

    /**
     * The input for adjusting partitions in one scheduling cycle.
     *
     * @param mayReduce whether the reduction interval has elapsed; any change made while this is true restarts the
     *     interval
     */
    private record Adjustment(Transaction transaction, QuotaDemand demand, boolean mayReduce, Instant now) {}

    /**
     * The amount of one resource that the partition being adjusted allocates to the team, the used part of it, and the
     * demand of the team's jobs.
     */
    private record Allocation(double amount, double used, QuotaDemand.ResourceDemand demand) {
        /**
         * Returns whether the unused amount is held back for a stalled job: the amount would suffice for the largest
         * task of the stalled jobs, but running tasks have to complete before that task fits.
         */
        boolean holdsForStalledTask() {
            double largestTask = demand.largestStalledTask();
            return largestTask > 0 && amount >= largestTask && amount - used < largestTask;
        }

        boolean fitsSmallestTaskAfter(double increase) {
            return amount + increase - used >= demand.smallestWaitingTask() - EPSILON;
        }
    }

    /**
     * The state of the other partitions for one resource.
     *
     * @param unallocated the part of the quota that is not allocated to any partition
     * @param shortage the sum of the demand of each other partition beyond the amount that it holds
     * @param demand the total demand of the other partitions
     */
    private record OtherPartitions(double unallocated, double shortage, double demand) {
        boolean haveUnmetDemand() {
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

    /** Adjusts this controller's own partition and, if it is the leader, the leader's partition. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        updateKnownPartitions();
        QuotaDemand demand = QuotaDemand.of(clusterState.jobs(), transaction);
        List<String> heldPartitions =
                context.leader() ? List.of(StoreKeys.LEADER_QUOTA, ownPartition) : List.of(ownPartition);
        Duration reductionInterval = context.hasSpareWriteCapacity() ? FAST_REDUCTION_INTERVAL : REDUCTION_INTERVAL;
        boolean mayReduce = !reductionIntervalStart.plus(reductionInterval).isAfter(now);
        Adjustment adjustment = new Adjustment(transaction, demand, mayReduce, now);
        for (String partition : heldPartitions) {
            QuotaPartition before = transaction.quotaPartition(partition);
            QuotaPartition after = adjusted(adjustment, partition, before);
            if (!after.equals(before) && transaction.hasCapacityFor(1)) {
                transaction.put(partition, after);
                othersByPartition.get(partition).forEach(transaction::requireUnchanged);
                if (mayReduce) {
                    reductionIntervalStart = now;
                }
            }
        }
    }

    /**
     * Updates the map of partitions. It includes expected partitions that were never written, because their holders may
     * write them concurrently.
     */
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
                resource.usedIn(partition, adjustment.transaction()),
                adjustment.demand().of(partition, resource));
        OtherPartitions others = others(adjustment, partition, resource, own.amount());
        boolean neededElsewhere = others.haveUnmetDemand() && own.amount() > own.used() && !own.holdsForStalledTask();
        boolean yields =
                unusedAllocations.mustYield(partition, resource, own.used(), neededElsewhere, adjustment.now());
        if (own.demand().total() > own.amount() && !yields) {
            double increase = increase(own, others, resource.quota());
            if (increase > EPSILON && own.fitsSmallestTaskAfter(increase)) {
                return own.amount() + increase;
            }
        }
        if (!others.haveUnmetDemand() || !adjustment.mayReduce()) {
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

    private static double increase(Allocation own, OtherPartitions others, double quota) {
        double ownShortage = own.demand().total() - own.amount();
        double spare = Math.max(0, others.unallocated() - others.shortage() - ownShortage);
        return Math.min(others.unallocated(), ownShortage + Math.min(quota * MAX_SPARE_FRACTION, spare / 2));
    }

    /**
     * Returns the amount after a reduction to the partition's own demand or, if the total demand exceeds the quota, to
     * its fair share. The partition keeps at least the used amount and what the largest task of its stalled jobs needs.
     * Returns the current amount if the reduction is too small to be worth a write to the state store, unless it
     * releases the whole amount.
     */
    private double reducedAmount(
            Adjustment adjustment, String partition, TeamResource resource, Allocation own, OtherPartitions others) {
        double quota = resource.quota();
        double needed = own.demand().total();
        double target = needed + others.demand() > quota
                ? FairShare.amountOf(partition, othersByPartition.get(partition), adjustment.demand(), resource)
                : needed;
        double current = own.amount();
        double reduced = Math.max(
                own.used(), Math.min(current, Math.max(target, own.demand().largestStalledTask())));
        boolean worthwhile = current - reduced > quota * MIN_REDUCTION_FRACTION || (reduced == 0 && current > 0);
        return worthwhile ? reduced : current;
    }
}
