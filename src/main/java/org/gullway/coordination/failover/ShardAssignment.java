package org.gullway.coordination.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/** Puts new machines on record, in shards of the members that command the fewest machines. */
public final class ShardAssignment {
    private final ClusterState clusterState;
    private final Transaction transaction;
    private final String idPrefix;
    private final Map<String, Integer> machineCounts = new TreeMap<>();
    /** Shards of each member that can take another machine; the last one is filled first. */
    private final Map<String, List<String>> openShards = new HashMap<>();

    private int created;

    /** @param idPrefix distinguishes the shards created now from all others ever created */
    public ShardAssignment(ClusterState clusterState, Transaction transaction, String idPrefix) {
        this.clusterState = clusterState;
        this.transaction = transaction;
        this.idPrefix = idPrefix;
        for (String node : clusterState.members().keySet()) {
            machineCounts.put(node, 0);
            openShards.put(node, new ArrayList<>());
        }
        for (MachineShard shard : clusterState.shards()) {
            if (clusterState.isMember(shard.controller())) {
                String node = shard.controller().node();
                machineCounts.merge(node, shard.machines().size(), Integer::sum);
                if (!isFull(shard)) {
                    openShards.get(node).add(shard.id());
                }
            }
        }
    }

    private static boolean isFull(MachineShard shard) {
        return shard.machines().size() >= MachineShard.MAX_MACHINES;
    }

    /** Records a provisioned machine; false if it does not fit into the transaction, or if there is no member. */
    public boolean assign(MachineRecord machine) {
        if (machineCounts.isEmpty()) {
            return false;
        }
        String node = memberWithFewestMachines();
        Optional<MachineShard> open = openShard(node);
        boolean changedAlready = open.isPresent()
                && transaction.changes().containsKey(StoreKeys.shard(open.get().id()));
        if (!changedAlready && !transaction.hasCapacityFor(2)) {
            return false;
        }
        MachineShard shard = open.orElseGet(() -> createShard(node));
        transaction.putShard(shard.with(machine.claimedBy(shard.controller(), shard.fencingToken())));
        machineCounts.merge(node, 1, Integer::sum);
        return true;
    }

    private String memberWithFewestMachines() {
        return machineCounts.entrySet().stream()
                .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
    }

    /** The member's last open shard as the transaction leaves it; shards that it has filled are dropped. */
    private Optional<MachineShard> openShard(String node) {
        List<String> ids = openShards.get(node);
        while (!ids.isEmpty()) {
            int last = ids.size() - 1;
            MachineShard shard = transaction.shard(ids.get(last));
            if (shard == null || !isFull(shard)) {
                // Null if the transaction has removed the shard.
                return Optional.ofNullable(shard);
            }
            ids.remove(last);
        }
        return Optional.empty();
    }

    private MachineShard createShard(String node) {
        // Before any shard exists there is no fencing token either.
        long fencingToken =
                transaction.fencingToken() == 0 ? transaction.nextFencingToken() : transaction.fencingToken();
        String id = idPrefix + "-" + ++created;
        openShards.get(node).add(id);
        return new MachineShard(id, clusterState.members().get(node), fencingToken, List.of());
    }
}
