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
import org.gullway.coordination.model.NetworkPartitionSettings;
import org.gullway.coordination.model.Transaction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects unresponsive and lost machines among those that this controller commands, from missing heartbeats and
 * unanswered commands.
 *
 * <p>A machine is unresponsive if a heartbeat is overdue, if a lease expired while commands were answered, or if
 * commands go unanswered. No tasks are placed on it until it is responsive again: in particular, a reserved task
 * placed there would wait until the machine is declared lost. A machine that stays unreachable is declared lost.
 */
final class FailureDetector {
    private static final Logger LOG = LoggerFactory.getLogger(FailureDetector.class);
    /** How long an agent waits for a heartbeat response before it tries another controller. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
    /** Time for a heartbeat to arrive, added to the longest interval between two heartbeats. */
    private static final Duration HEARTBEAT_MARGIN = Duration.ofSeconds(2);
    /**
     * While commands go unanswered, a machine is unresponsive this long after the contact timeout started or after the
     * first unanswered command was sent, whichever is earlier. The time is not zero, since a command may go unanswered
     * merely because its connection was closed.
     */
    private static final Duration UNANSWERED_LIMIT = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final HeartbeatTiming timing;
    private final NetworkPartitionSettings partitionSettings;
    private final AgentRegistry agents;
    /** When each zone was last found to be partitioned. */
    private final Map<String, Instant> zonePartitionedAt = new HashMap<>();

    private Instant checkedAt = Instant.MIN;
    /**
     * Since when this controller has accepted heartbeats without interruption; {@link Instant#MAX} while it refuses
     * them. A heartbeat that was missing earlier says nothing about its agent.
     */
    private Instant acceptingHeartbeatsSince = Instant.MAX;

    FailureDetector(
            ClusterState clusterState,
            HeartbeatTiming timing,
            NetworkPartitionSettings partitionSettings,
            AgentRegistry agents) {
        this.clusterState = clusterState;
        this.timing = timing;
        this.partitionSettings = partitionSettings;
        this.agents = agents;
    }

    /** The result of one check of all agents. */
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

    /**
     * Returns how long a machine must be unreachable before it is declared lost, if at least one machine is
     * responsive: two heartbeat intervals plus the time after which an agent gives up waiting for a response.
     */
    private Duration lostAfter() {
        return timing.intervals(2).plus(RESPONSE_TIMEOUT);
    }

    void plan(Transaction transaction, Instant now) {
        if (checkedAt.plus(CHECK_INTERVAL).isAfter(now)) {
            return;
        }
        checkedAt = now;
        Instant overdueBefore = now.minus(timing.longestInterval()).minus(HEARTBEAT_MARGIN);
        if (!acceptingHeartbeatsSince.isBefore(overdueBefore)) {
            // This controller has accepted heartbeats for less time than it takes a heartbeat to become overdue, so
            // missing ones may have been refused. During an outage of the state store, the heartbeats of all agents
            // are refused.
            return;
        }
        Instant lostBefore = now.minus(lostAfter());
        CheckResult result = new CheckResult();
        for (Map.Entry<String, AgentState> entry : agents.entries()) {
            AgentState agent = entry.getValue();
            MachineRecord record = clusterState.machine(entry.getKey());
            if (agents.isAssignedHere(record)) {
                boolean responsive = isResponsive(agent, overdueBefore);
                if (record.lifecycle() == MachineLifecycle.ACTIVE
                        && exceedsUnresponsiveLimit(agent, overdueBefore, now)) {
                    changeLifecycle(transaction, record, MachineLifecycle.UNRESPONSIVE);
                } else if (record.lifecycle() == MachineLifecycle.UNRESPONSIVE && responsive) {
                    changeLifecycle(transaction, record, MachineLifecycle.ACTIVE);
                }
                result.add(record, responsive);
                if (agent.unreachableSince().isBefore(lostBefore)) {
                    result.unreachable.add(record);
                }
            }
        }
        if (acceptingHeartbeatsSince.isBefore(lostBefore)) {
            declareLost(transaction, result, now);
        }
    }

    private static boolean isResponsive(AgentState agent, Instant overdueBefore) {
        return !agent.commands().isUnanswered()
                && !agent.isOutboundPartitioned()
                && !agent.lastMessageAt().isBefore(overdueBefore);
    }

    private static boolean exceedsUnresponsiveLimit(AgentState agent, Instant overdueBefore, Instant now) {
        Instant unreachableBefore = agent.commands().isUnanswered() ? now.minus(UNANSWERED_LIMIT) : overdueBefore;
        return agent.isOutboundPartitioned() || agent.unreachableSince().isBefore(unreachableBefore);
    }

    /**
     * Changes the machine's lifecycle in the transaction. Returns false if the machine is gone, already has this
     * lifecycle, or cannot be changed in this transaction.
     */
    private static boolean changeLifecycle(Transaction transaction, MachineRecord record, MachineLifecycle lifecycle) {
        MachineRecord current = transaction.machine(record.name());
        if (current == null || current.lifecycle() == lifecycle || !transaction.canPutMachine(record.name())) {
            return false;
        }
        transaction.putMachine(current.withLifecycle(lifecycle));
        return true;
    }

    /**
     * Declares unreachable machines lost. This includes machines whose heartbeats arrive but whose agents answer no
     * command, since nothing can be started or stopped there. If no machine is responsive, the fault is more likely in
     * this controller's own network, and the limit is longer.
     */
    private void declareLost(Transaction transaction, CheckResult result, Instant now) {
        updatePartitionedZones(result.zoneResponsive, now);
        Instant lostBeforeIfNoneResponsive = now.minus(lostAfter()).minus(timing.intervals(4));
        for (MachineRecord record : result.unreachable) {
            Instant since = agents.find(record.name()).unreachableSince();
            if ((result.anyResponsive || since.isBefore(lostBeforeIfNoneResponsive))
                    && !isLossDeferredByPartition(record, since, now)
                    && changeLifecycle(transaction, record, MachineLifecycle.LOST)) {
                LOG.info(
                        "machine declared lost: unreachable for longer than the limit machine={} zone={} elapsed_ms={}",
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
     * Returns whether a zone without a responsive machine is most likely partitioned: it has controllers, and none of
     * them is a member. Those controllers keep renewing leases in the zone as far as the lease renewal policy allows,
     * and running tasks are not lost.
     */
    private boolean isPartitioned(String zone) {
        List<String> controllers = partitionSettings.inZone(zone);
        return !controllers.isEmpty() && controllers.stream().noneMatch(clusterState.members()::containsKey);
    }

    /**
     * Returns whether declaring the machine lost is deferred because its zone is or was recently partitioned. When the
     * partition ends, the agent has {@link #lostAfter} to send a heartbeat. A machine is not deferred for longer than
     * the cancellation limit, and not at all if cancelled tasks are placed on it.
     */
    private boolean isLossDeferredByPartition(MachineRecord record, Instant unreachableSince, Instant now) {
        Instant partitionedAt = zonePartitionedAt.getOrDefault(record.zone(), Instant.MIN);
        Instant deferredAfter = now.minus(lostAfter()).minus(partitionSettings.cancellationLimit());
        return partitionedAt.isAfter(now.minus(lostAfter()))
                && unreachableSince.isAfter(deferredAfter)
                && !hasCancelledTasks(record);
    }

    /**
     * Returns whether cancelled tasks are placed on the machine. They must end within the cancellation limit, and in a
     * partitioned zone only the cloud provider can end them.
     */
    private boolean hasCancelledTasks(MachineRecord record) {
        return clusterState.placementsOn(record.name()).keySet().stream()
                .anyMatch(id -> clusterState.job(id.task().job()).isCancelled());
    }
}
