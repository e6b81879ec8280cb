package org.gullway.coordination.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.Transaction;

/** Moves shards from members with many machines to the member with the fewest, such as one that has just rejoined. */
final class ShardBalancer {
    private static final Duration INTERVAL = Duration.ofSeconds(5);
    /**
     * A shard is moved only if its controller, after giving it up, would still command over this many machines more
     * than the target commands before the move. This prevents shards from moving back and forth.
     */
    private static final int MIN_SURPLUS = MachineShard.MAX_MACHINES / 2;

    private static final Comparator<Map.Entry<Incarnation, Integer>> FEWEST_MACHINES =
            Map.Entry.<Incarnation, Integer>comparingByValue()
                    .thenComparing(entry -> entry.getKey().node());

    private final ClusterState clusterState;
    private Instant balancedAt = Instant.MIN;

    ShardBalancer(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    void plan(Transaction transaction, Instant now) {
        if (balancedAt.plus(INTERVAL).isAfter(now) || clusterState.members().size() < 2) {
            return;
        }
        balancedAt = now;
        Map<Incarnation, Integer> machineCounts = machineCounts();
        for (MachineShard shard : clusterState.shards()) {
            Incarnation source = shard.controller();
            Incarnation target =
                    Collections.min(machineCounts.entrySet(), FEWEST_MACHINES).getKey();
            int size = shard.machines().size();
            if (machineCounts.containsKey(source)
                    && transaction.hasCapacityFor(2)
                    && machineCounts.get(source) - machineCounts.get(target) > size + MIN_SURPLUS) {
                transaction.putShard(transaction.shard(shard.id()).claimedBy(target, transaction.nextFencingToken()));
                machineCounts.merge(source, -size, Integer::sum);
                machineCounts.merge(target, size, Integer::sum);
            }
        }
    }

    /** Number of machines that each member commands; shards of lost controllers are not counted. */
    private Map<Incarnation, Integer> machineCounts() {
        Map<Incarnation, Integer> counts = new HashMap<>();
        for (Incarnation member : clusterState.members().values()) {
            counts.put(member, 0);
        }
        for (MachineShard shard : clusterState.shards()) {
            counts.computeIfPresent(
                    shard.controller(),
                    (member, count) -> count + shard.machines().size());
        }
        return counts;
    }
}
