package org.gullway.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.StoreKeys;

/**
 * Divides a team's quota when the total demand of all partitions exceeds it. The demand of the leader's partition is
 * met first. The partitions of the controllers share the remainder in proportion to their demand, except that a
 * partition with stalled jobs gets at least what the largest task of its stalled jobs needs.
 *
 * <p>If these minimum amounts exceed the remainder, the sum of the results exceeds the quota. {@link QuotaPartitioner}
 * uses a result only to reduce a partition; it increases partitions only by unallocated quota.
 */
final class FairShare {
    /** Lower bound for divisors, which avoids division by zero. */
    private static final double MIN_DIVISOR = 1e-9;

    private FairShare() {}

    /**
     * Returns the amount of the team's resource that the partition is entitled to, given the demand of all partitions.
     */
    static double amountOf(String partition, List<String> otherPartitions, QuotaDemand demand, TeamResource resource) {
        double quota = resource.quota();
        double leaderAmount = Math.min(quota, demand.total(StoreKeys.LEADER_QUOTA, resource));
        if (partition.equals(StoreKeys.LEADER_QUOTA)) {
            return leaderAmount;
        }
        List<String> controllerPartitions = new ArrayList<>(otherPartitions);
        controllerPartitions.add(partition);
        controllerPartitions.remove(StoreKeys.LEADER_QUOTA);
        double remainder = quota - leaderAmount;
        double totalDemand = Math.max(
                MIN_DIVISOR,
                controllerPartitions.stream()
                        .mapToDouble(controllerPartition -> demand.total(controllerPartition, resource))
                        .sum());
        double sumOfMinimums = 0;
        double proportionalDemand = 0;
        for (String controllerPartition : controllerPartitions) {
            double largestTask = demand.of(controllerPartition, resource).largestStalledTask();
            double ownDemand = demand.total(controllerPartition, resource);
            boolean usesMinimum = largestTask > remainder * ownDemand / totalDemand;
            if (controllerPartition.equals(partition) && usesMinimum) {
                return largestTask;
            }
            sumOfMinimums += usesMinimum ? largestTask : 0;
            proportionalDemand += usesMinimum ? 0 : ownDemand;
        }
        return Math.max(0, remainder - sumOfMinimums)
                * demand.total(partition, resource)
                / Math.max(MIN_DIVISOR, proportionalDemand);
    }
}
