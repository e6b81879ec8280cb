package org.gullway.coordination.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/** Decides which groups of machines this controller takes over from others: from lost ones, and from unreachable ones. */
public final class ShardFailover {
    private final ClusterState clusterState;
    private final Incarnation self;
    private final Predicate<String> reroutedHere;
    /** Groups of a controller that some of their workers cannot reach. */
    private final Set<String> reroutedShards = new HashSet<>();
    /** Version of groups and members at which no group was without a live controller; -1 if there was one. */
    private long settledVersion = -1;

    /** @param reroutedHere whether the agent of a machine sends its heartbeats here since it cannot reach its controller */
    public ShardFailover(ClusterState clusterState, Incarnation self, Predicate<String> reroutedHere) {
        this.clusterState = clusterState;
        this.self = self;
        this.reroutedHere = reroutedHere;
    }

    /** To be told of a worker that reports here since it cannot reach the controller of its group. */
    public void onRerouted(String group) {
        reroutedShards.add(group);
    }

    /**
     * Who takes over the group of a lost controller: the same node if it is back, or else a member that all
     * controllers agree on as far as they agree on the members.
     */
    public String successor(MachineShard shard) {
        if (clusterState.members().containsKey(shard.controller().node())) {
            return shard.controller().node();
        }
        List<String> members = List.copyOf(clusterState.members().keySet());
        return members.isEmpty() ? null : members.get(Math.floorMod(shard.id().hashCode(), members.size()));
    }

    /** Groups whose controller is lost, and those of a live one that many of their workers cannot reach. */
    public void plan(Transaction transaction) {
        reroutedShards.removeIf(id -> clusterState.shard(id) == null
                || self.equals(clusterState.shard(id).controller()));
        if (reroutedShards.isEmpty() && settledVersion == clusterState.shardsAndMembersVersion()) {
            return;
        }
        boolean allLive = true;
        for (MachineShard shard : clusterState.shards()) {
            boolean live = clusterState.isMember(shard.controller());
            allLive &= live;
            boolean lost = !live && self.node().equals(successor(shard));
            if ((lost || reroutedShards.contains(shard.id()) && isMostlyRerouted(shard))
                    && transaction.hasCapacityFor(2)) {
                transaction.putShard(transaction
                        .shard(shard.id())
                        .claimedBy(
                                self,
                                lost ? fencingTokenAfterLoss(transaction, shard) : transaction.nextFencingToken()));
            }
        }
        settledVersion = allLive ? clusterState.shardsAndMembersVersion() : -1;
    }

    /**
     * An epoch that the lost controller never commanded under: the present one, if it was raised after the last loss
     * of a member; the lost one must not have come back unseen. After a crash of all, one raise serves all groups.
     */
    private long fencingTokenAfterLoss(Transaction transaction, MachineShard shard) {
        transaction.requireUnchanged(StoreKeys.member(shard.controller().node()));
        if (!clusterState.isFencingTokenNewerThanLastLoss()) {
            return transaction.nextFencingToken();
        }
        transaction.requireUnchanged(StoreKeys.FENCING_TOKEN);
        return transaction.fencingToken();
    }

    private boolean isMostlyRerouted(MachineShard shard) {
        long up = shard.machines().stream().filter(MachineRecord::isUp).count();
        long here = shard.machines().stream()
                .filter(m -> reroutedHere.test(m.name()))
                .count();
        return 2 * here >= up;
    }
}
