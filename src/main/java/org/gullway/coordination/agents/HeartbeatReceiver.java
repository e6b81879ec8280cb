package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;

/**
 * Handles messages from agents and decides how to answer heartbeats. Accepting a heartbeat renews the agent's lease,
 * so each such response contains the stops of cancelled tasks.
 */
final class HeartbeatReceiver {
    private final ClusterState clusterState;
    private final Incarnation self;
    private final AgentRegistry agents;
    private final AgentEpochRecorder agentEpochs;
    private final CommandPlanner planner;
    private final RerouteAdmission reroutes;
    private final CancellationEnforcer cancellationEnforcer;

    HeartbeatReceiver(
            ClusterState clusterState,
            Incarnation self,
            AgentRegistry agents,
            AgentEpochRecorder agentEpochs,
            CommandPlanner planner,
            RerouteAdmission reroutes,
            CancellationEnforcer cancellationEnforcer) {
        this.clusterState = clusterState;
        this.self = self;
        this.agents = agents;
        this.agentEpochs = agentEpochs;
        this.planner = planner;
        this.reroutes = reroutes;
        this.cancellationEnforcer = cancellationEnforcer;
    }

    HeartbeatResponse onHeartbeat(Heartbeat heartbeat, Instant now) {
        if (heartbeat.fencingToken().isGreaterThan(clusterState.fencingToken())) {
            return new HeartbeatResponse.NotReady();
        }
        MachineRecord record = clusterState.machine(heartbeat.machine());
        if (record == null) {
            // The heartbeat is accepted, which renews the lease, but it puts no machine on record, since it may be an
            // old duplicate. Only responses and listings of the cloud provider put machines on record.
            return accepted(cancellationEnforcer.stopCommands(heartbeat), false);
        }
        if (!self.equals(record.controller())) {
            Optional<String> responsible = reroutes.responsibleController(record);
            if (responsible.isEmpty() || !self.node().equals(responsible.get())) {
                return onReroutedHeartbeat(heartbeat, record, responsible, now);
            }
        }
        return onExpectedHeartbeat(heartbeat, record, now);
    }

    private HeartbeatResponse accepted(List<AgentCommand> commands, boolean mayRequireCycle) {
        return new HeartbeatResponse.Accepted(clusterState.fencingToken(), commands, mayRequireCycle);
    }

    private HeartbeatResponse onReroutedHeartbeat(
            Heartbeat heartbeat, MachineRecord record, Optional<String> responsible, Instant now) {
        if (reroutes.tryAccept(record, now)) {
            // Accepting keeps the agent's lease alive while the takeover of the machine's shard is pending. A redirect
            // to the machine's controller would fail, since the agent cannot reach it.
            return accepted(cancellationEnforcer.stopCommands(heartbeat), true);
        }
        return responsible.isPresent()
                ? new HeartbeatResponse.Redirect(responsible.get())
                : new HeartbeatResponse.RedirectToAny();
    }

    private HeartbeatResponse onExpectedHeartbeat(Heartbeat heartbeat, MachineRecord record, Instant now) {
        AgentState agent = agents.getOrCreate(heartbeat.machine(), now);
        boolean mayRequireCycle = agent.onHeartbeat(heartbeat, now) && agent.isDue(now);
        agents.addIfRecordChangeCandidate(heartbeat.machine(), agent);
        mayRequireCycle |= agentEpochs.observe(record, heartbeat);
        agent.reroute().end();
        List<AgentCommand> commands = new ArrayList<>(cancellationEnforcer.stopCommands(heartbeat));
        if (agents.isAssignedInRecordedEpoch(record, agent) && agent.hasConfirmedFencingToken(record)) {
            commands.addAll(planner.forgetCommands(record, agent));
        }
        return accepted(commands, mayRequireCycle);
    }

    /** Handles the agent's response to a command batch. */
    void onCommandResponse(Heartbeat response, Instant now) {
        AgentState agent = agents.find(response.machine());
        MachineRecord record = clusterState.machine(response.machine());
        if (agent != null && record != null) {
            agent.onCommandResponse(response, now);
            agents.addIfRecordChangeCandidate(response.machine(), agent);
            agentEpochs.observe(record, response);
        }
    }
}
