package org.gullway.coordination.quota;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.StoreKeys;

/**
 * Divides a quota that all partitions together need more of than there is: the leader's demand is met first, the
 * controllers divide the remainder in proportion to their demand, but none with a stalled job gets less than the
 * largest task of such jobs.
 */
final class FairDivision {
    /** Keeps divisors above zero. */
    private static final double MIN_DIVISOR = 1e-9;

    private FairDivision() {}

    /** What one partition may have of the team's resource, beside these others. */
    static double amountOf(String partition, List<String> otherPartitions, QuotaDemand demand, TeamResource resource) {
        double quota = resource.quota();
        double leaderAmount = Math.min(quota, demand.total(StoreKeys.LEADER_QUOTA, resource));
        if (partition.equals(StoreKeys.LEADER_QUOTA)) {
            return leaderAmount;
        }
        List<String> controllers = new ArrayList<>(otherPartitions);
        controllers.add(partition);
        controllers.remove(StoreKeys.LEADER_QUOTA);
        double remainder = quota - leaderAmount;
        double totalDemand = Math.max(
                MIN_DIVISOR,
                controllers.stream()
                        .mapToDouble(controller -> demand.total(controller, resource))
                        .sum());
        double fixedAmounts = 0;
        double proportionalDemand = 0;
        for (String controller : controllers) {
            double largestTask = demand.of(controller, resource).largestStalledTask();
            double ownDemand = demand.total(controller, resource);
            boolean fixed = largestTask > remainder * ownDemand / totalDemand;
            if (controller.equals(partition) && fixed) {
                return largestTask;
            }
            fixedAmounts += fixed ? largestTask : 0;
            proportionalDemand += fixed ? 0 : ownDemand;
        }
        return Math.max(0, remainder - fixedAmounts)
                * demand.total(partition, resource)
                / Math.max(MIN_DIVISOR, proportionalDemand);
    }
}
