package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;

/** Selects the machines commanded by this controller on which tasks can be placed now. */
final class SchedulableMachines {
    private final ClusterState clusterState;
    private final HeartbeatTiming timing;
    private final AgentRegistry agents;

    SchedulableMachines(ClusterState clusterState, HeartbeatTiming timing, AgentRegistry agents) {
        this.clusterState = clusterState;
        this.timing = timing;
        this.agents = agents;
    }

    List<MachineRecord> list(Instant now) {
        List<MachineRecord> schedulable = new ArrayList<>();
        Instant contactLimit = now.minus(timing.contactTimeout());
        for (Map.Entry<String, AgentState> entry : agents.entries()) {
            MachineRecord record = clusterState.machine(entry.getKey());
            AgentState agent = entry.getValue();
            if (isReachable(agent, contactLimit)
                    && agents.isAssignedInRecordedEpoch(record, agent)
                    && record.isSchedulable()
                    && agent.hasConfirmedFencingToken(record)) {
                schedulable.add(record);
            }
        }
        return schedulable;
    }

    private static boolean isReachable(AgentState agent, Instant contactLimit) {
        return !agent.commands().isUnanswered()
                && !agent.isOutboundPartitioned()
                && agent.contactTimeoutStart().isAfter(contactLimit);
    }
}
