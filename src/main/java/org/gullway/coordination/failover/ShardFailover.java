package org.gullway.coordination.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/**
 * Decides which shards this controller takes over: those of controllers that are lost, and those of a member that most
 * agents of the shard cannot reach.
 */
public final class ShardFailover {
    private static final long NONE = -1;

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Predicate<String> isReroutedHere;
    /** Shards of members that some of their agents cannot reach. */
    private final Set<String> reroutedShards = new HashSet<>();
    /** Version of shards and members at which every shard had a member as its controller. */
    private long completeVersion = NONE;

    /** @param isReroutedHere whether the agent of a machine sends its heartbeats here since it cannot reach its controller */
    public ShardFailover(ClusterState clusterState, Incarnation self, Predicate<String> isReroutedHere) {
        this.clusterState = clusterState;
        this.self = self;
        this.isReroutedHere = isReroutedHere;
    }

    /** To be called for a shard of which an agent repeatedly sends its heartbeats here. */
    public void onRerouted(String shard) {
        reroutedShards.add(shard);
    }

    /**
     * The controller that takes over the shard of a lost one: the same node if it is back, or else a member that all
     * controllers agree on as far as they agree on the members. Empty if there is no member.
     */
    public Optional<String> successor(MachineShard shard) {
        if (clusterState.members().containsKey(shard.controller().node())) {
            return Optional.of(shard.controller().node());
        }
        List<String> members = List.copyOf(clusterState.members().keySet());
        return members.isEmpty()
                ? Optional.empty()
                : Optional.of(members.get(Math.floorMod(shard.id().hashCode(), members.size())));
    }

    /** Claims the shards that this controller has to take over. */
    public void plan(Transaction transaction) {
        reroutedShards.removeIf(this::isGoneOrOwn);
        if (reroutedShards.isEmpty() && completeVersion == clusterState.shardsAndMembersVersion()) {
            return;
        }
        boolean complete = true;
        for (MachineShard shard : clusterState.shards()) {
            boolean lost = !clusterState.isMember(shard.controller());
            complete &= !lost;
            if (lost && isSuccessor(shard)) {
                if (transaction.hasCapacityFor(2)) {
                    claim(transaction, shard, fencingTokenAfterLoss(transaction, shard));
                }
            } else if (reroutedShards.contains(shard.id())
                    && isMostlyRerouted(shard)
                    && transaction.hasCapacityFor(2)) {
                claim(transaction, shard, transaction.nextFencingToken());
            }
        }
        completeVersion = complete ? clusterState.shardsAndMembersVersion() : NONE;
    }

    private boolean isGoneOrOwn(String id) {
        MachineShard shard = clusterState.shard(id);
        return shard == null || self.equals(shard.controller());
    }

    private boolean isSuccessor(MachineShard shard) {
        Optional<String> successor = successor(shard);
        return successor.isPresent() && self.node().equals(successor.get());
    }

    private void claim(Transaction transaction, MachineShard shard, long fencingToken) {
        transaction.putShard(transaction.shard(shard.id()).claimedBy(self, fencingToken));
    }

    /**
     * A fencing token that the lost controller never commanded under: the present one, if it was raised after the last
     * loss of a member, which must not have come back unseen. After a loss of all, one new token serves all shards.
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
        long rerouted = shard.machines().stream()
                .filter(machine -> isReroutedHere.test(machine.name()))
                .count();
        return 2 * rerouted >= up;
    }
}
