package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.PeerZones;
import org.gullway.coordination.model.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What silence says about the machines that this controller commands: one that has missed a report, has lost a lease
 * while it answered commands, or leaves commands without an answer, takes no more tasks until it is heard again; one that stays so is given up. Until
 * then the leader would book urgent tasks there, which wait until the machine is returned.
 */
final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** A worker waits so long for an answer before it turns to another controller. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    /** Reports come up to a quarter late, and a little more on their way. */
    private static final Duration HEARTBEAT_MARGIN = Duration.ofSeconds(2);
    /** A command that had no answer for so long was not just cut short by a connection that ended. */
    private static final Duration UNANSWERED_LIMIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Duration heartbeatInterval;
    private final PeerZones peerZones;
    private final Map<String, AgentState> agents;
    /** When each zone was last seen cut off. */
    private final Map<String, Instant> partitionedAt = new HashMap<>();

    private Instant proposedAt = Instant.MIN;
    /** Since when reports are taken without a break; before that, silence says nothing about a worker. */
    private Instant listeningSince = Instant.MAX;

    FailureDetector(
            ClusterState clusterState,
            Incarnation self,
            Duration heartbeatInterval,
            PeerZones peerZones,
            Map<String, AgentState> agents) {
        this.clusterState = clusterState;
        this.self = self;
        this.heartbeatInterval = heartbeatInterval;
        this.peerZones = peerZones;
        this.agents = agents;
    }

    void onLeaseStatus(boolean holdsValidLease, Instant now) {
        if (!holdsValidLease) {
            listeningSince = Instant.MAX;
        } else if (listeningSince.equals(Instant.MAX)) {
            listeningSince = now;
        }
    }

    /** How long a machine has to be silent before it is given up, if others are well. */
    private Duration lostAfter() {
        return heartbeatInterval.multipliedBy(2).plus(RESPONSE_TIMEOUT);
    }

    void plan(Transaction transaction, Instant now) {
        if (proposedAt.plus(CHECK_INTERVAL).isAfter(now)) {
            return;
        }
        proposedAt = now;
        Instant late = now.minus(heartbeatInterval.multipliedBy(5).dividedBy(4)).minus(HEARTBEAT_MARGIN);
        if (!listeningSince.isBefore(late)) {
            // After an outage of the state store all workers have been refused for a while (simulated day 99336).
            return;
        }
        Instant deaf = now.minus(UNANSWERED_LIMIT);
        Instant limit = now.minus(lostAfter());
        List<MachineRecord> candidates = new ArrayList<>();
        Map<String, Boolean> zoneHeard = new HashMap<>();
        boolean othersWell = false;
        for (Map.Entry<String, AgentState> entry : agents.entrySet()) {
            AgentState agent = entry.getValue();
            MachineRecord record = clusterState.machine(entry.getKey());
            if (record == null || !record.isUp() || !self.equals(record.controller())) {
                continue;
            }
            boolean heard = agent.unansweredSince() == null
                    && !agent.isOutboundPartitioned()
                    && !agent.lastMessageAt().isBefore(late);
            if (record.lifecycle() == MachineLifecycle.ACTIVE
                    && (agent.isOutboundPartitioned()
                            || unreachableSince(agent).isBefore(agent.unansweredSince() == null ? late : deaf))) {
                changeLifecycle(transaction, record, MachineLifecycle.UNRESPONSIVE);
            } else if (record.lifecycle() == MachineLifecycle.UNRESPONSIVE && heard) {
                changeLifecycle(transaction, record, MachineLifecycle.ACTIVE);
            }
            if (unreachableSince(agent).isBefore(limit)) {
                candidates.add(record);
            }
            zoneHeard.merge(record.zone(), heard, Boolean::logicalOr);
            othersWell |= heard;
        }
        if (listeningSince.isBefore(limit)) {
            declareLost(transaction, candidates, zoneHeard, othersWell, now);
        }
    }

    private static boolean changeLifecycle(Transaction transaction, MachineRecord record, MachineLifecycle lifecycle) {
        MachineRecord current = transaction.machine(record.name());
        if (current == null || current.lifecycle() == lifecycle || !transaction.canPutMachine(record.name())) {
            return false;
        }
        transaction.putMachine(current.withLifecycle(lifecycle));
        return true;
    }

    /**
     * Gives up machines that have been silent for several intervals, and those whose reports arrive but which answer
     * no command: such reports look alive, yet nothing can be started or stopped there. While all are silent or deaf
     * the fault is more likely to be this controller's own network, and then it takes longer.
     */
    private void declareLost(
            Transaction transaction,
            List<MachineRecord> candidates,
            Map<String, Boolean> zoneHeard,
            boolean othersWell,
            Instant now) {
        Instant longLimit = now.minus(lostAfter()).minus(heartbeatInterval.multipliedBy(4));
        Instant heldLimit = now.minus(lostAfter()).minus(peerZones.cancelLimit());
        zoneHeard.forEach((zone, heard) -> {
            if (!heard && isPartitioned(zone)) {
                partitionedAt.put(zone, now);
            }
        });
        for (MachineRecord record : candidates) {
            Instant since = unreachableSince(agents.get(record.name()));
            // Once the zone is back its workers have their time to report again.
            boolean held =
                    partitionedAt.getOrDefault(record.zone(), Instant.MIN).isAfter(now.minus(lostAfter()))
                            && since.isAfter(heldLimit)
                            && !holdsCancelled(record);
            if ((othersWell || since.isBefore(longLimit))
                    && !held
                    && changeLifecycle(transaction, record, MachineLifecycle.LOST)) {
                LOG.info(
                        "gives up {} in {}, silent or deaf for {}",
                        record.name(),
                        record.zone(),
                        Duration.between(since, now));
            }
        }
    }

    /**
     * A zone of which nothing is heard, not even its controller, is most likely cut off: that controller keeps the
     * leases of the workers there (see {@link LeaseRenewalPolicy}), and their work is not lost (dong-xanh-fleet zone: half
     * of the jobs lost tasks of 90 s).
     */
    private boolean isPartitioned(String zone) {
        List<String> controllers = peerZones.inZone(zone);
        return !controllers.isEmpty() && controllers.stream().noneMatch(clusterState.members()::containsKey);
    }

    /** Tasks of cancelled jobs must be gone in time, and only the cloud can end them in a zone that is cut off. */
    private boolean holdsCancelled(MachineRecord record) {
        return clusterState.placementsOn(record.name()).keySet().stream()
                .anyMatch(id -> clusterState.job(id.task().job()).isCancelled());
    }

    private static Instant unreachableSince(AgentState agent) {
        return agent.unansweredSince() == null
                ? agent.lastContact()
                : Collections.min(List.of(agent.lastContact(), agent.unansweredSince()));
    }
}
