package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.gullway.coordination.failover.ShardFailover;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;

/** Decides whether a heartbeat is accepted although another controller commands the machine, or where to redirect it. */
final class RerouteAdmission {
    /** Beyond the longest interval between two heartbeats; an agent that no response reaches comes back far later. */
    private static final Duration REROUTE_MARGIN = Duration.ofSeconds(1);
    /** A rerouted heartbeat so many intervals after the first one counts as the first one again. */
    private static final int REROUTE_INTERVALS = 10;

    private final ClusterState clusterState;
    private final HeartbeatTiming timing;
    private final AgentRegistry agents;
    private final ShardFailover shardFailover;

    RerouteAdmission(
            ClusterState clusterState, HeartbeatTiming timing, AgentRegistry agents, ShardFailover shardFailover) {
        this.clusterState = clusterState;
        this.timing = timing;
        this.agents = agents;
        this.shardFailover = shardFailover;
    }

    /** The controller that commands the machine, or the one that takes it over; empty if there is no member. */
    Optional<String> responsibleController(MachineRecord record) {
        return clusterState.isMember(record.controller())
                ? Optional.of(record.controller().node())
                : shardFailover.successor(clusterState.shard(clusterState.shardOf(record.name())));
    }

    /** Whether an agent that was redirected is back, since it cannot reach its controller, and is accepted this time. */
    boolean tryAccept(MachineRecord record, Instant now) {
        RerouteState reroute = agents.getOrCreate(record.name(), now).reroute();
        if (!reroute.isStartedWithin(timing.intervals(REROUTE_INTERVALS), now)) {
            reroute.start(now);
            return false;
        }
        if (!clusterState.isMember(record.controller())) {
            return false;
        }
        // An agent that no response reaches is rerouted as well. Its shard would change controllers again and again,
        // and each time the failure detector would begin anew.
        if (reroute.wasAcceptedWithin(timing.longestInterval().plus(REROUTE_MARGIN), now)) {
            shardFailover.onRerouted(clusterState.shardOf(record.name()));
        }
        return reroute.tryAccept(now);
    }
}
