package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;

/** The agents that sent messages to this controller, or whose machines it commands, by machine. */
final class AgentRegistry {
    /** Agents of machines that are gone or commanded elsewhere do no harm until then. */
    private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(2);

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Map<String, AgentState> agents = new LinkedHashMap<>();
    private final WakeupQueue wakeups = new WakeupQueue();
    private final Set<String> recordChangeCandidates = new LinkedHashSet<>();
    private Instant evictedAt = Instant.MIN;

    AgentRegistry(ClusterState clusterState, Incarnation self) {
        this.clusterState = clusterState;
        this.self = self;
    }

    /** The agent of the machine, or null if it is not known here. */
    AgentState find(String machine) {
        return agents.get(machine);
    }

    AgentState getOrCreate(String machine, Instant now) {
        return agents.computeIfAbsent(machine, name -> new AgentState(now, at -> wakeups.add(name, at)));
    }

    /** All agents by machine, not to be changed; without a wrapper, since these are iterated in every cycle. */
    Set<Map.Entry<String, AgentState>> entries() {
        return agents.entrySet();
    }

    /** Machines whose agents asked to be reconciled by now; see {@link WakeupQueue#pollDue}. */
    List<String> pollDue(Instant now) {
        return wakeups.pollDue(now);
    }

    /** Notes the machine if its agent's state may call for a change of records. */
    void updateRecordChangeCandidates(String machine, AgentState agent) {
        if (agent.mayNeedRecordChange()) {
            recordChangeCandidates.add(machine);
        }
    }

    /** Machines whose agents' state calls, or called, for a change of records. */
    Set<String> recordChangeCandidates() {
        return recordChangeCandidates;
    }

    /** Whether the machine runs an agent and this controller commands it. */
    boolean isAssignedHere(MachineRecord record) {
        return record != null && record.isUp() && self.equals(record.controller());
    }

    /** Whether the machine is assigned here, and the watch has brought all that was recorded before that. */
    boolean isCommandedHere(MachineRecord record) {
        return isAssignedHere(record) && clusterState.watchedRevision() >= clusterState.machineVersion(record.name());
    }

    /** Whether the machine is commanded here and its agent's newest message is of the epoch on record. */
    boolean isInContact(MachineRecord record, AgentState agent) {
        return isCommandedHere(record)
                && agent != null
                && agent.lastHeartbeat() != null
                && agent.lastHeartbeat().agentEpoch() == record.agentEpoch();
    }

    /** Drops agents of machines that are gone or that another controller commands. */
    void evictStaleAgents(Instant now) {
        if (evictedAt.plus(EVICTION_INTERVAL).isAfter(now)) {
            return;
        }
        evictedAt = now;
        agents.entrySet().removeIf(entry -> {
            MachineRecord record = clusterState.machine(entry.getKey());
            AgentState agent = entry.getValue();
            boolean ownedHere = record != null && self.equals(record.controller());
            return !ownedHere
                    && !agent.reroute().isRetained(now)
                    && !agent.commands().isInFlight();
        });
    }
}
