package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.failover.ShardFailover;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.NetworkPartitionSettings;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.Heartbeat;

/**
 * Reconciles the machines that this controller commands with the records. The placements on record are the desired
 * state, and an agent's newest message is the actual state. The difference becomes commands. The completions of ended
 * attempts are reported to the controllers that write the records of their jobs.
 *
 * <p>This class is the entry point of the package. It wires the other classes together and delegates to them.
 */
public final class AgentReconciler implements PlanningStep {
    private final AgentRegistry agents;
    private final HeartbeatReceiver heartbeatReceiver;
    private final CommandDispatcher commandDispatcher;
    private final CompletionReporter completionReporter;
    private final ShardFailover shardFailover;
    private final AgentEpochRecorder agentEpochs;
    private final AgentConditionPlanner agentConditions;
    private final FailureDetector failureDetector;
    private final OverdueCancellationPlanner overdueCancellations;
    private final SchedulableMachines schedulableMachines;

    public AgentReconciler(
            ClusterState clusterState,
            Incarnation self,
            Duration heartbeatInterval,
            NetworkPartitionSettings partitionSettings,
            CompletionBuffer completionBuffer,
            CancellationEnforcer cancellationEnforcer) {
        HeartbeatTiming timing = new HeartbeatTiming(heartbeatInterval);
        this.agents = new AgentRegistry(clusterState, self);
        CommandPlanner planner = new CommandPlanner(clusterState);
        this.shardFailover = new ShardFailover(clusterState, self, this::isRerouted);
        this.agentEpochs = new AgentEpochRecorder(clusterState, self, agents);
        RerouteAdmission reroutes = new RerouteAdmission(clusterState, timing, agents, shardFailover);
        this.heartbeatReceiver =
                new HeartbeatReceiver(clusterState, self, agents, agentEpochs, planner, reroutes, cancellationEnforcer);
        this.completionReporter = new CompletionReporter(clusterState, self, completionBuffer);
        this.commandDispatcher = new CommandDispatcher(clusterState, timing, agents, planner, completionReporter);
        this.agentConditions = new AgentConditionPlanner(clusterState, agents);
        this.failureDetector = new FailureDetector(clusterState, timing, partitionSettings, agents);
        this.overdueCancellations = new OverdueCancellationPlanner(clusterState, self, agents, cancellationEnforcer);
        this.schedulableMachines = new SchedulableMachines(clusterState, timing, agents);
    }

    private boolean isRerouted(String machine) {
        AgentState agent = agents.find(machine);
        return agent != null && agent.reroute().isActive();
    }

    /**
     * Reports whether this controller holds a valid lease. Must be called in every scheduling cycle: heartbeats are
     * refused without a valid lease, and failure detection must not count them as missing.
     */
    public void onLeaseStatus(boolean holdsValidLease, Instant now) {
        failureDetector.onLeaseStatus(holdsValidLease, now);
    }

    /** Returns the newest message from the machine's agent, or null if none is known. */
    public Heartbeat lastMessage(String machine) {
        AgentState agent = agents.find(machine);
        return agent == null ? null : agent.lastMessage();
    }

    /** Handles a heartbeat. Its machine may be commanded by another controller or may not be on record. */
    public HeartbeatResponse onHeartbeat(Heartbeat heartbeat, Instant now) {
        return heartbeatReceiver.onHeartbeat(heartbeat, now);
    }

    /** Handles an agent's response to a command batch. */
    public void onCommandResponse(Heartbeat response, Instant now) {
        heartbeatReceiver.onCommandResponse(response, now);
    }

    /** Handles the outcome of a batch from {@link #commandsDue}. Each batch must have exactly one outcome. */
    public void onCommandOutcome(CommandBatch batch, CommandOutcome outcome, Instant now) {
        commandDispatcher.onCommandOutcome(batch, outcome, now);
    }

    /**
     * Returns all commands that are due now, in one batch for each machine. Also observes which attempts have ended,
     * and adds their completions to the completion buffer or to those that {@link #drainCompletions} returns.
     */
    public List<CommandBatch> commandsDue(Instant now) {
        return commandDispatcher.commandsDue(now);
    }

    /** Returns how many wake-ups of agents have been polled, including those of agents no longer due. */
    long polledWakeups() {
        return commandDispatcher.polledWakeups();
    }

    /**
     * Returns the queued completions, grouped by the controller that writes the record of their job, and clears the
     * queue.
     */
    public Map<String, List<AttemptCompletion>> drainCompletions() {
        return completionReporter.drainCompletions();
    }

    /** Handles completions that another controller has observed. */
    public void onCompletions(Collection<AttemptCompletion> completions, Instant now) {
        completionReporter.onCompletions(completions, now);
    }

    /**
     * Takes over shards, records agent epochs, and changes the lifecycle of machines according to the state of their
     * agents.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        shardFailover.plan(transaction);
        agentEpochs.plan(transaction);
        agentConditions.plan(transaction, now);
        failureDetector.plan(transaction, now);
        overdueCancellations.plan(transaction);
    }

    /** Returns the machines commanded by this controller on which tasks can be placed now. */
    public List<MachineRecord> schedulableMachines(Instant now) {
        return schedulableMachines.list(now);
    }

    /**
     * Removes the state of agents whose machines are gone or commanded by another controller, except agents with a
     * command batch in flight or with recent rerouted heartbeats. Does nothing if the last eviction was too recent.
     */
    public void evictStaleAgents(Instant now) {
        agents.evictStaleAgents(now);
    }
}
