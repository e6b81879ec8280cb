package org.gullway.coordination.failover;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;

/**
 * Decides which shards this controller takes over: the shards of lost controllers of which it is the successor, and
 * shards of other members if the agents of at least half of their booted machines send their heartbeats here.
 */
public final class ShardFailover {
    private static final long NONE = -1;

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Predicate<String> isReroutedHere;
    /** Ids of shards of other members with agents that repeatedly send their heartbeats here. */
    private final Set<String> reroutedShards = new HashSet<>();
    /**
     * The {@link ClusterState#shardAndMemberChangeCount} at which every shard was found to have a member as its
     * controller; {@link #NONE} if the last check found a shard of a lost controller, or before the first check.
     */
    private long changeCountWhenFullyAssigned = NONE;

    /**
     * @param isReroutedHere whether the agent of the machine of this name sends its heartbeats here because it cannot
     *     reach its own controller
     */
    public ShardFailover(ClusterState clusterState, Incarnation self, Predicate<String> isReroutedHere) {
        this.clusterState = clusterState;
        this.self = self;
        this.isReroutedHere = isReroutedHere;
    }

    /** Called with the id of a shard when one of its agents repeatedly sends its heartbeats here. */
    public void onRerouted(String shard) {
        reroutedShards.add(shard);
    }

    /**
     * The member that takes over the shard of a lost controller: the same controller if it is a member again, or else a
     * member chosen by the hash of the shard's id, so that controllers that know the same members choose the same one.
     * Empty if there is no member.
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

    /** Adds to the transaction the claims of all shards that this controller takes over. */
    public void plan(Transaction transaction) {
        reroutedShards.removeIf(this::isRemovedOrOwn);
        if (reroutedShards.isEmpty() && changeCountWhenFullyAssigned == clusterState.shardAndMemberChangeCount()) {
            return;
        }
        boolean fullyAssigned = true;
        for (MachineShard shard : clusterState.shards()) {
            boolean lost = !clusterState.isMember(shard.controller());
            fullyAssigned &= !lost;
            if (lost && isSuccessor(shard)) {
                if (transaction.hasCapacityFor(2)) {
                    claim(transaction, shard, fencingTokenAfterLoss(transaction, shard));
                }
            } else if (reroutedShards.contains(shard.id())
                    && isAtLeastHalfRerouted(shard)
                    && transaction.hasCapacityFor(2)) {
                claim(transaction, shard, transaction.nextFencingToken());
            }
        }
        changeCountWhenFullyAssigned = fullyAssigned ? clusterState.shardAndMemberChangeCount() : NONE;
    }

    private boolean isRemovedOrOwn(String id) {
        MachineShard shard = clusterState.shard(id);
        return shard == null || self.equals(shard.controller());
    }

    private boolean isSuccessor(MachineShard shard) {
        Optional<String> successor = successor(shard);
        return successor.isPresent() && self.node().equals(successor.get());
    }

    private void claim(Transaction transaction, MachineShard shard, FencingToken fencingToken) {
        transaction.putShard(transaction.shard(shard.id()).claimedBy(self, fencingToken));
    }

    /**
     * A fencing token under which the lost controller has sent no command: the current token if it was raised after the
     * last loss of a member, or else a new one. After the loss of all members, one raise of the token thus serves all
     * shards. The lost controller's member key becomes a condition of the transaction, which therefore fails if that
     * controller has rejoined meanwhile.
     */
    private FencingToken fencingTokenAfterLoss(Transaction transaction, MachineShard shard) {
        transaction.requireUnchanged(StoreKeys.member(shard.controller().node()));
        if (!clusterState.isFencingTokenNewerThanLastLoss()) {
            return transaction.nextFencingToken();
        }
        transaction.requireUnchanged(StoreKeys.FENCING_TOKEN);
        return transaction.fencingToken();
    }

    private boolean isAtLeastHalfRerouted(MachineShard shard) {
        long booted = shard.machines().stream().filter(MachineRecord::hasBooted).count();
        long rerouted = shard.machines().stream()
                .filter(machine -> isReroutedHere.test(machine.name()))
                .count();
        return 2 * rerouted >= booted;
    }
}
