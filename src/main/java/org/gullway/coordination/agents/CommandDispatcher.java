package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.cycle.ErrorIsolation;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;

/**
 * Reconciles the agents that are due and creates their command batches. Each agent has at most one batch in flight.
 *
 * <p>Only agents whose state has changed, or whose wake-up time has come, are reconciled. A heartbeat with the same
 * agent epoch, fencing token and tasks as the agent's last message, and without a new spot notice, causes no
 * reconciliation.
 */
final class CommandDispatcher {
    private static final Duration RETRY_DELAY = Duration.ofMillis(500);
    /**
     * Delay before an agent is reconciled again if the watch has not delivered all changes up to its machine's record.
     */
    private static final Duration WATCH_DELAY = Duration.ofMillis(30);

    private static final Duration BLOCKED_RETRY_DELAY = Duration.ofMillis(50);
    /**
     * With this many batches in flight, probes are deferred, since the agents' next heartbeats most likely carry the
     * same information. Agents with unanswered commands are sent a batch nevertheless.
     */
    private static final int MAX_IN_FLIGHT_FOR_PROBES = 8;

    private final ClusterState clusterState;
    private final HeartbeatTiming timing;
    private final AgentRegistry agents;
    private final CommandPlanner planner;
    private final CompletionReporter completionReporter;
    private final CommandWindow window = new CommandWindow();
    private long polledWakeups;

    CommandDispatcher(
            ClusterState clusterState,
            HeartbeatTiming timing,
            AgentRegistry agents,
            CommandPlanner planner,
            CompletionReporter completionReporter) {
        this.clusterState = clusterState;
        this.timing = timing;
        this.agents = agents;
        this.planner = planner;
        this.completionReporter = completionReporter;
    }

    /**
     * Returns all commands that are due now, in one batch for each machine. The caller must report exactly one outcome
     * for each batch.
     */
    List<CommandBatch> commandsDue(Instant now) {
        wakeChangedMachines(now);
        List<CommandBatch> batches = new ArrayList<>();
        for (String name : agents.pollDue(now)) {
            polledWakeups++;
            AgentState agent = agents.find(name);
            if (agent != null && agent.isDue(now)) {
                agent.onReconciliation();
                // The batches before count as in flight, so an exception must not keep them from being returned.
                ErrorIsolation.run("command_planning", () -> reconcile(clusterState.machine(name), agent, now)
                        .ifPresent(batches::add));
            }
        }
        return batches;
    }

    private void wakeChangedMachines(Instant now) {
        for (String name : clusterState.takeChangedMachines()) {
            MachineRecord record = clusterState.machine(name);
            if (agents.isAssignedHere(record)) {
                AgentState agent = agents.getOrCreate(name, now);
                agent.onFencingTokenOnRecord(record.fencingToken(), now);
                agent.wakeAt(now);
            }
        }
    }

    private Optional<CommandBatch> reconcile(MachineRecord record, AgentState agent, Instant now) {
        if (!agents.isAssignedAndCaughtUp(record)) {
            if (agents.isAssignedHere(record)) {
                agent.wakeAt(now.plus(WATCH_DELAY));
            }
            return Optional.empty();
        }
        if (agents.isAssignedInRecordedEpoch(record, agent)) {
            completionReporter.observe(record, agent, now);
            agents.addIfRecordChangeCandidate(record.name(), agent);
        }
        if (agent.contactTimeoutStart().isBefore(now.minus(timing.contactTimeout()))) {
            // The agent is most likely unreachable. A heartbeat with a changed state makes it due at once.
            agent.wakeAt(now.plus(timing.interval()));
            return Optional.empty();
        }
        if (agent.commands().isInFlight()) {
            // The outcome of the batch in flight makes the agent due again.
            return Optional.empty();
        }
        if (!agent.commands().maySend(now) || window.isFull()) {
            agent.wakeAt(now.plus(BLOCKED_RETRY_DELAY));
            return Optional.empty();
        }
        return nextBatch(record, agent, now);
    }

    private Optional<CommandBatch> nextBatch(MachineRecord record, AgentState agent, Instant now) {
        boolean assignedInRecordedEpoch = agents.isAssignedInRecordedEpoch(record, agent);
        boolean tokenConfirmed = assignedInRecordedEpoch && agent.hasConfirmedFencingToken(record);
        PlannedCommands planned = tokenConfirmed ? planner.startsAndStops(record, agent) : PlannedCommands.NONE;
        agent.listedAttempts().onStartsPlanned(planned.heldBackStarts());
        agents.addIfRecordChangeCandidate(record.name(), agent);
        List<AgentCommand> commands = planned.commands();
        // A probe is a batch without commands. The response confirms the fencing token and lists the agent's tasks.
        // While commands go unanswered, a batch is sent whether or not the probe is deferred.
        boolean probe = needsProbe(record, agent, assignedInRecordedEpoch, tokenConfirmed);
        if (probe
                && (window.inFlight() >= MAX_IN_FLIGHT_FOR_PROBES
                        || !agent.commands().tryProbe(now))) {
            // Defers the probe, since the agent's next heartbeat most likely carries the same information. This
            // matters after a failover, when hundreds of agents need a probe at once.
            probe = false;
            agent.wakeAt(now.plus(RETRY_DELAY));
        }
        if (commands.isEmpty() && !probe && !agent.commands().isUnanswered()) {
            return Optional.empty();
        }
        agent.commands().onSent();
        window.onSent();
        return Optional.of(new CommandBatch(
                record.name(), record.address(), clusterState.fencingToken(), record.agentEpoch(), commands, now));
    }

    private boolean needsProbe(
            MachineRecord record, AgentState agent, boolean assignedInRecordedEpoch, boolean tokenConfirmed) {
        Heartbeat last = agent.lastMessage();
        boolean epochUnknown = last == null || record.agentEpoch().isGreaterThan(last.agentEpoch());
        // Starts that are held back wait until the agent may forget ended attempts, which requires a higher token.
        boolean waitsForToken = !tokenConfirmed || agent.listedAttempts().hasHeldBackStarts();
        return epochUnknown
                || (assignedInRecordedEpoch
                        && waitsForToken
                        && clusterState.fencingToken().isGreaterThan(last.fencingToken()));
    }

    /** Handles the outcome of a batch. */
    void onCommandOutcome(CommandBatch batch, CommandOutcome outcome, Instant now) {
        window.onOutcome(batch.sentAt(), outcome == CommandOutcome.ANSWERED, now);
        AgentState agent = agents.find(batch.machine());
        if (agent == null) {
            return;
        }
        if (outcome == CommandOutcome.UNKNOWN && batch.hasStarts()) {
            agent.onUnknownStartOutcome(batch.fencingToken());
            agents.addIfRecordChangeCandidate(batch.machine(), agent);
        }
        Instant retryAt = now.plus(RETRY_DELAY);
        switch (outcome) {
            case ANSWERED -> {
                agent.commands().onAnswered();
                agent.wakeAt(now);
            }
            case NO_SOCKET -> {
                agent.commands().onDeferred(retryAt);
                agent.wakeAt(retryAt);
            }
            case NOT_SENT, UNKNOWN -> {
                agent.commands().onFailed(batch.sentAt(), retryAt);
                agent.wakeAt(retryAt);
            }
        }
    }

    /** Returns how many wake-ups of agents have been polled, including those of agents no longer due. */
    long polledWakeups() {
        return polledWakeups;
    }
}
