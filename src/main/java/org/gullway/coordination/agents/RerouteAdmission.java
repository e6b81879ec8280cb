package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.gullway.coordination.failover.ShardFailover;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;

/**
 * Decides how to answer heartbeats from machines that another controller commands: accept them, or redirect the agent.
 */
final class RerouteAdmission {
    /**
     * An agent that received the response to its last heartbeat sends the next one within the longest heartbeat
     * interval plus this margin. An agent that received no response takes far longer to come back.
     */
    private static final Duration REROUTE_MARGIN = Duration.ofSeconds(1);
    /** After this many heartbeat intervals, a sequence of rerouted heartbeats begins again, with a redirect. */
    private static final int REROUTE_WINDOW_INTERVALS = 10;

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

    /**
     * Returns the controller that commands the machine or, if that controller is not a member, the one that takes over
     * the machine's shard. The result is empty if no member can take over.
     */
    Optional<String> responsibleController(MachineRecord record) {
        return clusterState.isMember(record.controller())
                ? Optional.of(record.controller().node())
                : shardFailover.successor(clusterState.shard(clusterState.shardOf(record.name())));
    }

    /**
     * Returns whether a rerouted heartbeat is accepted. Redirects the first one of a sequence, then accepts every
     * other one (see {@link RerouteState#tryAccept}). Accepts none if the machine's controller is not a member. May
     * also make the machine's shard a candidate for takeover.
     */
    boolean tryAccept(MachineRecord record, Instant now) {
        RerouteState reroute = agents.getOrCreate(record.name(), now).reroute();
        if (!reroute.isStartedWithin(timing.intervals(REROUTE_WINDOW_INTERVALS), now)) {
            reroute.start(now);
            return false;
        }
        if (!clusterState.isMember(record.controller())) {
            return false;
        }
        // An agent that receives no responses also sends its heartbeats to one controller after another. If its
        // machine's shard were taken over, the shard would change controllers again and again, and each change would
        // restart failure detection. So the shard becomes a candidate for takeover only if the agent has come back
        // soon after an accepted heartbeat, which shows that it receives responses.
        if (reroute.wasAcceptedWithin(timing.longestInterval().plus(REROUTE_MARGIN), now)) {
            shardFailover.onRerouted(clusterState.shardOf(record.name()));
        }
        return reroute.tryAccept(now);
    }
}
