package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;

/**
 * Changes records according to the state of individual agents. A start with unknown outcome, or a heartbeat that is
 * filled with ended attempts, requires a higher fencing token, and a machine that is faulty or has a spot notice is
 * drained.
 */
final class AgentConditionPlanner {
    /**
     * Minimum time between two fencing tokens that agents require. Each new token costs one more message from every
     * agent, and one token resolves all starts whose outcomes became unknown, and all ends of attempts, before it.
     */
    private static final Duration FENCING_TOKEN_INTERVAL = Duration.ofSeconds(1);

    private final AgentRegistry agents;
    private final SpotNoticePlanner spotNotices;
    private final JobFailureTracker jobFailures;
    private final ExcessPlacementPlanner excessPlacements;
    private Instant fencingTokenRaisedAt = Instant.MIN;

    AgentConditionPlanner(ClusterState clusterState, AgentRegistry agents) {
        this.agents = agents;
        this.spotNotices = new SpotNoticePlanner(clusterState);
        this.jobFailures = new JobFailureTracker(clusterState);
        this.excessPlacements = new ExcessPlacementPlanner(clusterState);
    }

    void plan(Transaction transaction, Instant now) {
        jobFailures.update(
                agents.recordChangeCandidates().stream()
                        .map(agents::find)
                        .filter(agent -> agent != null && !agent.failures().isEmpty())
                        .toList(),
                now);
        agents.recordChangeCandidates().removeIf(name -> !mayNeedRecordChange(name));
        boolean tokenNeeded = false;
        for (String name : agents.recordChangeCandidates()) {
            AgentState agent = agents.find(name);
            MachineRecord record = transaction.machine(name);
            if (agents.isAssignedInRecordedEpoch(record, agent)) {
                tokenNeeded |=
                        needsHigherToken(agent, transaction.fencingToken().value());
                excessPlacements.plan(transaction, record, agent);
                spotNotices.plan(transaction, record, agent, now);
                drainIfFaultyOrTerminating(transaction, record, agent, now);
            }
        }
        if (tokenNeeded) {
            raiseFencingToken(transaction, now);
        }
    }

    private static boolean needsHigherToken(AgentState agent, Count fencingToken) {
        Count needed = Count.max(
                agent.highestUnknownStartToken(), agent.listedAttempts().fencingTokenToSurpass());
        return needed.isAtLeast(fencingToken);
    }

    private boolean mayNeedRecordChange(String name) {
        AgentState agent = agents.find(name);
        return agent != null && agent.mayNeedRecordChange();
    }

    private void drainIfFaultyOrTerminating(
            Transaction transaction, MachineRecord record, AgentState agent, Instant now) {
        if (transaction.machine(record.name()).lifecycle() == MachineLifecycle.ACTIVE
                && transaction.canPutMachine(record.name())
                && (agent.spotTerminationAt() != null || jobFailures.isFaulty(agent, now))) {
            transaction.putMachine(record.withLifecycle(MachineLifecycle.DRAINING));
        }
    }

    private void raiseFencingToken(Transaction transaction, Instant now) {
        if (fencingTokenRaisedAt.plus(FENCING_TOKEN_INTERVAL).isBefore(now) && transaction.hasCapacityFor(1)) {
            fencingTokenRaisedAt = now;
            transaction.nextFencingToken();
        }
    }
}
