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

/** Holds, by machine, the agents that have sent messages to this controller or whose machines it commands. */
final class AgentRegistry {
    /**
     * Minimum time between two evictions of stale agents, whose machines are gone or commanded by another controller.
     * Between evictions they get no command batches, since {@link CommandDispatcher} checks the assignment.
     */
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

    /** Returns the agent of the machine, or null if this controller does not know it. */
    AgentState find(String machine) {
        return agents.get(machine);
    }

    AgentState getOrCreate(String machine, Instant now) {
        return agents.computeIfAbsent(machine, name -> new AgentState(now, at -> wakeups.add(name, at)));
    }

    /**
     * Returns all agents by machine. Callers must not modify the set, which has no unmodifiable wrapper because it is
     * iterated in every cycle.
     */
    Set<Map.Entry<String, AgentState>> entries() {
        return agents.entrySet();
    }

    /** Returns the machines whose agents may be due for reconciliation; see {@link WakeupQueue#pollDue}. */
    List<String> pollDue(Instant now) {
        return wakeups.pollDue(now);
    }

    /** Adds the machine to the candidates for a record change if its agent's state may require one. */
    void addIfRecordChangeCandidate(String machine, AgentState agent) {
        if (agent.mayNeedRecordChange()) {
            recordChangeCandidates.add(machine);
        }
    }

    /**
     * Returns the machines whose agents' state requires, or once required, a change of records. This is the live set,
     * from which the caller removes machines.
     */
    Set<String> recordChangeCandidates() {
        return recordChangeCandidates;
    }

    /** Returns whether the machine runs an agent and its record assigns it to this controller. */
    boolean isAssignedHere(MachineRecord record) {
        return record != null && record.hasBooted() && self.equals(record.controller());
    }

    /**
     * Returns whether the machine is assigned to this controller and the watch has delivered all changes up to the
     * machine's record. Only then does the cluster state contain all placements that were recorded before the machine
     * was assigned.
     */
    boolean isAssignedAndCaughtUp(MachineRecord record) {
        return isAssignedHere(record)
                && clusterState.watchedRevision().isAtLeast(clusterState.machineVersion(record.name()));
    }

    /**
     * Returns whether {@link #isAssignedAndCaughtUp} holds for the machine and its agent's newest message, however old,
     * has the agent epoch on record.
     */
    boolean isAssignedInRecordedEpoch(MachineRecord record, AgentState agent) {
        return isAssignedAndCaughtUp(record)
                && agent != null
                && agent.lastMessage() != null
                && agent.lastMessage().agentEpoch().equals(record.agentEpoch());
    }

    /**
     * Removes agents whose machines are gone or commanded by another controller, except those with a command batch in
     * flight or with rerouted heartbeats that are retained (see {@link RerouteState#isRetained}). Does nothing within
     * {@link #EVICTION_INTERVAL} after the last eviction.
     */
    void evictStaleAgents(Instant now) {
        if (evictedAt.plus(EVICTION_INTERVAL).isAfter(now)) {
            return;
        }
        evictedAt = now;
        agents.entrySet().removeIf(entry -> {
            MachineRecord record = clusterState.machine(entry.getKey());
            AgentState agent = entry.getValue();
            boolean controlledHere = record != null && self.equals(record.controller());
            return !controlledHere
                    && !agent.reroute().isRetained(now)
                    && !agent.commands().isInFlight();
        });
    }
}
