package org.gullway.coordination.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/** Adds newly provisioned machines to shards of the members that command the fewest machines. */
public final class ShardAssignment {
    private final ClusterState clusterState;
    private final Transaction transaction;
    private final String idPrefix;
    private final Map<String, Integer> machineCounts = new TreeMap<>();
    /** Ids of the shards of each member that can hold another machine; the last one is filled first. */
    private final Map<String, List<String>> openShards = new HashMap<>();

    private int createdShards;

    /** @param idPrefix prefix of the ids of new shards, unique among all shards ever created */
    public ShardAssignment(ClusterState clusterState, Transaction transaction, String idPrefix) {
        this.clusterState = clusterState;
        this.transaction = transaction;
        this.idPrefix = idPrefix;
        for (String member : clusterState.members().keySet()) {
            machineCounts.put(member, 0);
            openShards.put(member, new ArrayList<>());
        }
        for (MachineShard shard : clusterState.shards()) {
            if (clusterState.isMember(shard.controller())) {
                String member = shard.controller().node();
                machineCounts.merge(member, shard.machines().size(), Integer::sum);
                if (!isFull(shard)) {
                    openShards.get(member).add(shard.id());
                }
            }
        }
    }

    private static boolean isFull(MachineShard shard) {
        return shard.machines().size() >= MachineShard.MAX_MACHINES;
    }

    /** Adds a machine to a shard; false if the change does not fit into the transaction, or if there is no member. */
    public boolean assign(MachineRecord machine) {
        if (machineCounts.isEmpty()) {
            return false;
        }
        String member = memberWithFewestMachines();
        Optional<MachineShard> open = openShard(member);
        boolean alreadyChanged = open.isPresent()
                && transaction.changes().containsKey(StoreKeys.shard(open.get().id()));
        // Up to two keys change: the shard and, with the first shard, the fencing token.
        if (!alreadyChanged && !transaction.hasCapacityFor(2)) {
            return false;
        }
        MachineShard shard = open.orElseGet(() -> createShard(member));
        transaction.putShard(shard.with(machine.claimedBy(shard.controller(), shard.fencingToken())));
        machineCounts.merge(member, 1, Integer::sum);
        return true;
    }

    private String memberWithFewestMachines() {
        return machineCounts.entrySet().stream()
                .min(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .orElseThrow()
                .getKey();
    }

    /** The member's last open shard as the transaction leaves it; removes full shards from the open ones. */
    private Optional<MachineShard> openShard(String member) {
        List<String> ids = openShards.get(member);
        while (!ids.isEmpty()) {
            int last = ids.size() - 1;
            MachineShard shard = transaction.shard(ids.get(last));
            if (shard == null || !isFull(shard)) {
                // The shard is null if the transaction removes it.
                return Optional.ofNullable(shard);
            }
            ids.remove(last);
        }
        return Optional.empty();
    }

    private MachineShard createShard(String member) {
        // The fencing token is first written together with the first shard of the cluster.
        FencingToken fencingToken = transaction.fencingToken();
        if (fencingToken.equals(FencingToken.NONE)) {
            fencingToken = transaction.nextFencingToken();
        }
        String id = idPrefix + "-" + ++createdShards;
        openShards.get(member).add(id);
        return new MachineShard(id, clusterState.members().get(member), fencingToken.value(), List.of());
    }
}
