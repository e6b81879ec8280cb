package org.gullway.coordination.agents;

import java.util.HashSet;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Heartbeat;

/** Records new agent epochs. Tasks are placed and started only in the agent epoch that is on record. */
final class AgentEpochRecorder {
    private final ClusterState clusterState;
    private final Incarnation self;
    private final AgentRegistry agents;
    /** Machines whose agent epoch on record may be outdated. */
    private final Set<String> outdated = new HashSet<>();

    AgentEpochRecorder(ClusterState clusterState, Incarnation self, AgentRegistry agents) {
        this.clusterState = clusterState;
        this.self = self;
        this.agents = agents;
    }

    /** Observes the agent epoch of a message. Returns whether it is newer than the one on record. */
    boolean observe(MachineRecord record, Heartbeat heartbeat) {
        boolean newer = heartbeat.agentEpoch().isGreaterThan(record.agentEpoch());
        if (newer) {
            outdated.add(record.name());
        }
        return newer;
    }

    void plan(Transaction transaction) {
        outdated.removeIf(this::isUpToDate);
        for (String name : outdated) {
            MachineRecord record = transaction.machine(name);
            if (record != null && transaction.canPutMachine(name)) {
                Heartbeat heartbeat = agents.find(name).lastMessage();
                transaction.putMachine(record.withAgentEpoch(heartbeat.agentEpoch(), heartbeat.address()));
            }
        }
    }

    private boolean isUpToDate(String name) {
        AgentState agent = agents.find(name);
        MachineRecord record = clusterState.machine(name);
        return agent == null
                || agent.lastMessage() == null
                || record == null
                || !self.equals(record.controller())
                || record.agentEpoch().isAtLeast(agent.lastMessage().agentEpoch());
    }
}
