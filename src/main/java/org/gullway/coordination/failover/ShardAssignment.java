package org.gullway.coordination.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/** Puts new machines on record, in groups of the controllers that command the fewest. */
public final class ShardAssignment {
    private final ClusterState clusterState;
    private final Transaction transaction;
    private final String idPrefix;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final Map<String, List<String>> open = new HashMap<>();
    private int created;

    /** @param idPrefix distinguishes the groups created now from all others ever created */
    public ShardAssignment(ClusterState clusterState, Transaction transaction, String idPrefix) {
        this.clusterState = clusterState;
        this.transaction = transaction;
        this.idPrefix = idPrefix;
        clusterState.members().keySet().forEach(node -> {
            counts.put(node, 0);
            open.put(node, new ArrayList<>());
        });
        for (MachineShard shard : clusterState.shards()) {
            if (clusterState.isMember(shard.controller())) {
                String node = shard.controller().node();
                counts.merge(node, shard.machines().size(), Integer::sum);
                if (shard.machines().size() < MachineShard.MAX_MACHINES) {
                    open.get(node).add(shard.id());
                }
            }
        }
    }

    /** Records a machine that the cloud has rented to us; false if that does not fit into this commit any more. */
    public boolean assign(MachineRecord machine) {
        if (counts.isEmpty()) {
            return false;
        }
        String node = counts.entrySet().stream()
                .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
        List<String> groups = open.get(node);
        MachineShard shard = groups.isEmpty() ? null : transaction.shard(groups.get(groups.size() - 1));
        if (shard != null && shard.machines().size() >= MachineShard.MAX_MACHINES) {
            groups.remove(groups.size() - 1);
            return assign(machine);
        }
        if (!transaction.hasCapacityFor(2)
                && (shard == null || !transaction.changes().containsKey(StoreKeys.shard(shard.id())))) {
            return false;
        }
        if (shard == null) {
            long fencingToken =
                    transaction.fencingToken() == 0 ? transaction.nextFencingToken() : transaction.fencingToken();
            shard = new MachineShard(
                    idPrefix + "-" + ++created, clusterState.members().get(node), fencingToken, List.of());
            groups.add(shard.id());
        }
        transaction.putShard(shard.with(machine.claimedBy(shard.controller(), shard.fencingToken())));
        counts.merge(node, 1, Integer::sum);
        return true;
    }
}
