package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.PeerZones;
import org.gullway.coordination.model.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides from missing heartbeats and unanswered commands which of the machines commanded here are unresponsive or lost.
 *
 * <p>A machine is unresponsive if a heartbeat is overdue, a lease expired while commands were answered, or commands go
 * unanswered: it takes no more tasks until it is responsive again, since reserved tasks placed there would wait until it
 * is declared lost. It is declared lost if it stays unreachable.
 */
final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** An agent waits so long for a response before it turns to another controller. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    /** For a heartbeat's way here, beyond the longest interval between two of them. */
    private static final Duration HEARTBEAT_MARGIN = Duration.ofSeconds(2);
    /** A command unanswered for so long was not just cut short by a connection that ended. */
    private static final Duration UNANSWERED_LIMIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final HeartbeatTiming timing;
    private final PeerZones peerZones;
    private final AgentRegistry agents;
    /** When each zone was last seen partitioned. */
    private final Map<String, Instant> zonePartitionedAt = new HashMap<>();

    private Instant checkedAt = Instant.MIN;
    /** Since when heartbeats are accepted without a break; a heartbeat missing before says nothing about its agent. */
    private Instant acceptingHeartbeatsSince = Instant.MAX;

    FailureDetector(ClusterState clusterState, HeartbeatTiming timing, PeerZones peerZones, AgentRegistry agents) {
        this.clusterState = clusterState;
        this.timing = timing;
        this.peerZones = peerZones;
        this.agents = agents;
    }

    /** What one check has found. */
    private static final class CheckResult {
        private final List<MachineRecord> unreachable = new ArrayList<>();
        private final Map<String, Boolean> zoneResponsive = new HashMap<>();
        private boolean anyResponsive;

        void add(MachineRecord record, boolean responsive) {
            zoneResponsive.merge(record.zone(), responsive, Boolean::logicalOr);
            anyResponsive |= responsive;
        }
    }

    void onLeaseStatus(boolean holdsValidLease, Instant now) {
        if (!holdsValidLease) {
            acceptingHeartbeatsSince = Instant.MAX;
        } else if (acceptingHeartbeatsSince.equals(Instant.MAX)) {
            acceptingHeartbeatsSince = now;
        }
    }

    /** How long a machine has to be unreachable before it is declared lost, if others are responsive. */
    private Duration lostAfter() {
        return timing.intervals(2).plus(RESPONSE_TIMEOUT);
    }

    void plan(Transaction transaction, Instant now) {
        if (checkedAt.plus(CHECK_INTERVAL).isAfter(now)) {
            return;
        }
        checkedAt = now;
        Instant overdueLimit = now.minus(timing.longestInterval()).minus(HEARTBEAT_MARGIN);
        if (!acceptingHeartbeatsSince.isBefore(overdueLimit)) {
            // During an outage of the state store the heartbeats of all agents were refused.
            return;
        }
        Instant lostLimit = now.minus(lostAfter());
        CheckResult result = new CheckResult();
        for (Map.Entry<String, AgentState> entry : agents.entries()) {
            AgentState agent = entry.getValue();
            MachineRecord record = clusterState.machine(entry.getKey());
            if (agents.isAssignedHere(record)) {
                boolean responsive = isResponsive(agent, overdueLimit);
                if (record.lifecycle() == MachineLifecycle.ACTIVE && isUnresponsive(agent, overdueLimit, now)) {
                    changeLifecycle(transaction, record, MachineLifecycle.UNRESPONSIVE);
                } else if (record.lifecycle() == MachineLifecycle.UNRESPONSIVE && responsive) {
                    changeLifecycle(transaction, record, MachineLifecycle.ACTIVE);
                }
                result.add(record, responsive);
                if (agent.unreachableSince().isBefore(lostLimit)) {
                    result.unreachable.add(record);
                }
            }
        }
        if (acceptingHeartbeatsSince.isBefore(lostLimit)) {
            declareLost(transaction, result, now);
        }
    }

    private static boolean isResponsive(AgentState agent, Instant overdueLimit) {
        return !agent.commands().isUnanswered()
                && !agent.isOutboundPartitioned()
                && !agent.lastMessageAt().isBefore(overdueLimit);
    }

    private static boolean isUnresponsive(AgentState agent, Instant overdueLimit, Instant now) {
        Instant limit = agent.commands().isUnanswered() ? now.minus(UNANSWERED_LIMIT) : overdueLimit;
        return agent.isOutboundPartitioned() || agent.unreachableSince().isBefore(limit);
    }

    /** Whether the transaction changes the lifecycle now. */
    private static boolean changeLifecycle(Transaction transaction, MachineRecord record, MachineLifecycle lifecycle) {
        MachineRecord current = transaction.machine(record.name());
        if (current == null || current.lifecycle() == lifecycle || !transaction.canPutMachine(record.name())) {
            return false;
        }
        transaction.putMachine(current.withLifecycle(lifecycle));
        return true;
    }

    /**
     * Declares machines lost that are unreachable, also those whose heartbeats arrive but which answer no command: nothing
     * can be started or stopped there. While no machine is responsive, the fault is more likely to be this controller's
     * own network, and then it takes longer.
     */
    private void declareLost(Transaction transaction, CheckResult result, Instant now) {
        updatePartitionedZones(result.zoneResponsive, now);
        Instant limitIfNoneResponsive = now.minus(lostAfter()).minus(timing.intervals(4));
        for (MachineRecord record : result.unreachable) {
            Instant since = agents.find(record.name()).unreachableSince();
            if ((result.anyResponsive || since.isBefore(limitIfNoneResponsive))
                    && !isLossDeferredByPartition(record, since, now)
                    && changeLifecycle(transaction, record, MachineLifecycle.LOST)) {
                LOG.info(
                        "declared a machine lost: it is unreachable machine={} zone={} elapsed_ms={}",
                        record.name(),
                        record.zone(),
                        Duration.between(since, now).toMillis());
            }
        }
    }

    private void updatePartitionedZones(Map<String, Boolean> zoneResponsive, Instant now) {
        zoneResponsive.forEach((zone, responsive) -> {
            if (!responsive && isPartitioned(zone)) {
                zonePartitionedAt.put(zone, now);
            }
        });
    }

    /**
     * A zone without a responsive machine, and without a member among its controllers, is most likely partitioned: its
     * controllers keep renewing the leases there as the lease renewal policy allows, and the work is not lost.
     */
    private boolean isPartitioned(String zone) {
        List<String> controllers = peerZones.inZone(zone);
        return !controllers.isEmpty() && controllers.stream().noneMatch(clusterState.members()::containsKey);
    }

    /** Whether the machine is waited for; once its zone is back, its agent has the usual time to send a heartbeat. */
    private boolean isLossDeferredByPartition(MachineRecord record, Instant unreachableSince, Instant now) {
        Instant partitionedAt = zonePartitionedAt.getOrDefault(record.zone(), Instant.MIN);
        Instant deferralLimit = now.minus(lostAfter()).minus(peerZones.cancelLimit());
        return partitionedAt.isAfter(now.minus(lostAfter()))
                && unreachableSince.isAfter(deferralLimit)
                && !hasCancelledTasks(record);
    }

    /** Tasks of cancelled jobs must be gone in time, and only the cloud can end them in a partitioned zone. */
    private boolean hasCancelledTasks(MachineRecord record) {
        return clusterState.placementsOn(record.name()).keySet().stream()
                .anyMatch(id -> clusterState.job(id.task().job()).isCancelled());
    }
}
