package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.failover.ShardFailover;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.PeerZones;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that this controller commands. Recorded placements are what is wanted; the worker's newest message is
 * what is; the difference becomes commands. Ends seen here go to the keepers of the jobs.
 *
 * <p>Only workers of which something has changed, or is due, are looked at; an unchanged report costs no more than
 * its decoding.
 */
public final class AgentReconciler implements PlanningStep {
    private static final Logger LOG = LoggerFactory.getLogger(AgentReconciler.class);
    private static final Duration COMMAND_RETRY_DELAY = Duration.ofMillis(500);
    /** Beyond the longest pause between two reports; a worker that hears nobody takes far longer to come by again. */
    private static final Duration REROUTE_MARGIN = Duration.ofSeconds(1);

    /** What is kept for machines that are gone or commanded elsewhere does no harm meanwhile. */
    private static final Duration EVICTION_INTERVAL = Duration.ofSeconds(2);

    private static final Duration SPOT_NOTICE_MARGIN = Duration.ofSeconds(1);
    /** A record that the watch has not confirmed yet is looked at again this much later. */
    private static final Duration RECORD_LAG = Duration.ofMillis(30);

    private static final Duration REVISIT_DELAY = Duration.ofMillis(50);
    /** Every worker reports once more when the epoch has risen, so starts without an answer are settled together. */
    private static final Duration FENCING_TOKEN_PAUSE = Duration.ofSeconds(1);
    /** Commands on their way beyond which workers are no longer asked for what they will report anyway. */
    private static final int MAX_COMMANDS_BEFORE_PROBES = 8;

    private final ClusterState clusterState;
    private final Incarnation self;
    private final Duration heartbeatInterval;
    private final CommandPlanner planner;
    private final CompletionReporter completionReporter;
    private final CancellationEnforcer cancellationEnforcer;
    private final Map<String, AgentState> agents = new LinkedHashMap<>();
    private final WakeupQueue wakeups = new WakeupQueue();
    /** Machines whose workers have, or had, trouble that may call for a change of the records. */
    private final Set<String> troubled = new LinkedHashSet<>();

    private final FailureDetector failureDetector;
    /** Machines here whose session on record may be behind. */
    private final Set<String> newAgentEpochs = new HashSet<>();

    private final ShardFailover shardFailover;

    private final JobFailureTracker jobFailures;

    private final CommandWindow commandWindow = new CommandWindow();
    /** Workers looked at so far. */
    private long visits;

    private Instant evictedAt = Instant.MIN;
    private Instant fencingTokenRaisedAt = Instant.MIN;

    public AgentReconciler(
            ClusterState clusterState,
            Incarnation self,
            Duration heartbeatInterval,
            PeerZones peerZones,
            CompletionBuffer completionBuffer,
            CancellationEnforcer cancellationEnforcer) {
        this.clusterState = clusterState;
        this.self = self;
        this.heartbeatInterval = heartbeatInterval;
        this.planner = new CommandPlanner(clusterState);
        this.completionReporter = new CompletionReporter(clusterState, self, completionBuffer);
        this.cancellationEnforcer = cancellationEnforcer;
        this.jobFailures = new JobFailureTracker(clusterState);
        this.shardFailover = new ShardFailover(clusterState, self, this::isRerouted);
        this.failureDetector = new FailureDetector(clusterState, self, heartbeatInterval, peerZones, agents);
    }

    /** To be told in every round whether this controller is entitled to act, and so takes reports. */
    public void onLeaseStatus(boolean holdsValidLease, Instant now) {
        failureDetector.onLeaseStatus(holdsValidLease, now);
    }

    private AgentState worker(String machine, Instant now) {
        return agents.computeIfAbsent(machine, m -> new AgentState(now, at -> wakeups.add(m, at)));
    }

    private void trackTrouble(String machine, AgentState agent) {
        if (agent.hasTrouble()) {
            troubled.add(machine);
        }
    }

    /** The newest message of the worker on this machine, or null if none is known. */
    public Heartbeat lastHeartbeat(String machine) {
        AgentState agent = agents.get(machine);
        return agent == null ? null : agent.lastHeartbeat();
    }

    /**
     * Takes a report, whose sender may be a worker of another controller or one that is not on record.
     *
     * @return the commands that the answer carries, or where the worker should report instead
     */
    public HeartbeatResponse onHeartbeat(Heartbeat heartbeat, Instant now) {
        if (heartbeat.fencingToken() > clusterState.fencingToken()) {
            return new HeartbeatResponse.NotReady();
        }
        MachineRecord record = clusterState.machine(heartbeat.machine());
        if (record == null) {
            // It comes on record by the cloud's answer or list, never by a report alone: that may be an old copy.
            return new HeartbeatResponse.Accepted(
                    clusterState.fencingToken(), cancellationEnforcer.stopCommands(heartbeat), false);
        }
        if (!self.equals(record.controller())) {
            String better = clusterState.isMember(record.controller())
                    ? record.controller().node()
                    : shardFailover.successor(clusterState.shard(clusterState.shardOf(record.name())));
            if (!self.node().equals(better)) {
                // While its group is being taken over, an answer keeps its lease; the way back there would only fail.
                return acceptRerouted(record, now)
                        ? new HeartbeatResponse.Accepted(
                                clusterState.fencingToken(), cancellationEnforcer.stopCommands(heartbeat), true)
                        : new HeartbeatResponse.Redirect(better);
            }
        }
        AgentState agent = worker(heartbeat.machine(), now);
        boolean changed = agent.onHeartbeat(heartbeat, now) && agent.isDue(now);
        trackTrouble(heartbeat.machine(), agent);
        if (heartbeat.agentEpoch() > record.agentEpoch()) {
            newAgentEpochs.add(heartbeat.machine());
            changed = true;
        }
        agent.onRerouted(null);
        List<AgentCommand> commands = new ArrayList<>(cancellationEnforcer.stopCommands(heartbeat));
        if (isInContact(record, agent) && agent.isFenced(record)) {
            commands.addAll(planner.forgets(record, agent));
        }
        return new HeartbeatResponse.Accepted(clusterState.fencingToken(), commands, changed);
    }

    private boolean isRerouted(String machine) {
        AgentState agent = agents.get(machine);
        return agent != null && agent.reroutedAt() != null;
    }

    /** Whether a worker that was sent on is back because it cannot reach its controller, and may stay for one report. */
    private boolean acceptRerouted(MachineRecord record, Instant now) {
        AgentState agent = worker(record.name(), now);
        if (agent.reroutedAt() == null
                || agent.reroutedAt().plus(heartbeatInterval.multipliedBy(10)).isBefore(now)) {
            agent.onRerouted(now);
            return false;
        }
        if (!clusterState.isMember(record.controller())) {
            return false;
        }
        // One that hears nobody comes by all the same: its group would change hands again and again, and each time the
        // count of its silence would begin anew.
        if (agent.wasAcceptedWithin(
                heartbeatInterval.multipliedBy(5).dividedBy(4).plus(REROUTE_MARGIN), now)) {
            shardFailover.onRerouted(clusterState.shardOf(record.name()));
        }
        return agent.acceptsNextHeartbeat(now);
    }

    /** The answer to a direct command. */
    public void onCommandResponse(Heartbeat heartbeat, Instant now) {
        AgentState agent = agents.get(heartbeat.machine());
        MachineRecord record = clusterState.machine(heartbeat.machine());
        if (agent != null && record != null) {
            agent.onCommandResponse(heartbeat, now);
            trackTrouble(heartbeat.machine(), agent);
            if (heartbeat.agentEpoch() > record.agentEpoch()) {
                newAgentEpochs.add(heartbeat.machine());
            }
        }
    }

    /** Takes the outcome of a command that {@link #pushes} asked to send; every one of them must have exactly one. */
    public void onCommandOutcome(CommandBatch batch, CommandOutcome outcome, Instant now) {
        commandWindow.onOutcome(batch.sentAt(), outcome == CommandOutcome.ANSWERED, now);
        AgentState agent = agents.get(batch.machine());
        if (agent != null) {
            if (outcome == CommandOutcome.UNKNOWN && batch.hasStarts()) {
                agent.onUnknownStartOutcome(batch.fencingToken());
                trackTrouble(batch.machine(), agent);
            }
            switch (outcome) {
                case ANSWERED -> agent.onCommandAnswered(now);
                case NO_SOCKET -> agent.onCommandDeferred(now, COMMAND_RETRY_DELAY);
                default -> agent.onCommandFailed(batch.sentAt(), now, COMMAND_RETRY_DELAY);
            }
        }
    }

    /** Whether the machine is this controller's, and the watch has brought all that was recorded before. */
    private boolean isCommandedHere(MachineRecord record) {
        return record != null
                && record.isUp()
                && self.equals(record.controller())
                && clusterState.watchedRevision() >= clusterState.machineVersion(record.name());
    }

    private boolean isInContact(MachineRecord record, AgentState agent) {
        return isCommandedHere(record)
                && agent != null
                && agent.lastHeartbeat() != null
                && agent.lastHeartbeat().agentEpoch() == record.agentEpoch();
    }

    /** Notes which machines the records show as changed. */
    private void wakeChangedMachines(Instant now) {
        for (String name : clusterState.drainChangedMachines()) {
            MachineRecord record = clusterState.machine(name);
            if (record != null && record.isUp() && self.equals(record.controller())) {
                AgentState agent = worker(name, now);
                agent.onCommandedUnder(record.fencingToken(), now);
                agent.wakeAt(now);
            }
        }
    }

    /** All commands that are due now, one batch for each machine; completions that are seen are noted for their writers. */
    public List<CommandBatch> commandsDue(Instant now) {
        wakeChangedMachines(now);
        List<CommandBatch> batches = new ArrayList<>();
        for (String name : wakeups.pollDue(now)) {
            visits++;
            AgentState agent = agents.get(name);
            if (agent != null && agent.isDue(now)) {
                agent.onVisited();
                visit(clusterState.machine(name), agent, now).ifPresent(batches::add);
            }
        }
        return batches;
    }

    private Optional<CommandBatch> visit(MachineRecord record, AgentState agent, Instant now) {
        if (!isCommandedHere(record)) {
            if (record != null && record.isUp() && self.equals(record.controller())) {
                agent.wakeAt(now.plus(RECORD_LAG));
            }
            return Optional.empty();
        }
        if (isInContact(record, agent)) {
            completionReporter.observe(record, agent, now);
            trackTrouble(record.name(), agent);
        }
        if (agent.lastContact().isBefore(now.minus(heartbeatInterval.multipliedBy(2)))) {
            // Most likely it is gone; its heartbeat would bring it back here.
            agent.wakeAt(now.plus(heartbeatInterval));
            return Optional.empty();
        }
        if (agent.hasCommandInFlight()) {
            // The outcome of its command brings it back here.
            return Optional.empty();
        }
        if (!agent.mayCommand(now) || commandWindow.isFull()) {
            agent.wakeAt(now.plus(REVISIT_DELAY));
            return Optional.empty();
        }
        return nextBatch(record, agent, now);
    }

    private Optional<CommandBatch> nextBatch(MachineRecord record, AgentState agent, Instant now) {
        boolean inContact = isInContact(record, agent);
        boolean fenced = inContact && agent.isFenced(record);
        List<AgentCommand> commands = fenced ? planner.difference(record, agent) : List.of();
        // A batch without commands asks the agent to confirm the fencing token and to say what is there.
        boolean probe = needsProbe(record, agent, inContact, fenced);
        if (probe && (commandWindow.inFlight() >= MAX_COMMANDS_BEFORE_PROBES || !agent.mayProbe(now))) {
            // Its own heartbeat will most likely say the same: after a failover hundreds come at once.
            probe = false;
            agent.wakeAt(now.plus(COMMAND_RETRY_DELAY));
        }
        if (commands.isEmpty() && !probe && agent.unansweredSince() == null) {
            return Optional.empty();
        }
        agent.onCommandSent();
        commandWindow.onSent();
        return Optional.of(new CommandBatch(
                record.name(), record.address(), clusterState.fencingToken(), record.agentEpoch(), commands, now));
    }

    private boolean needsProbe(MachineRecord record, AgentState agent, boolean inContact, boolean fenced) {
        Heartbeat last = agent.lastHeartbeat();
        boolean unknown = last == null || last.agentEpoch() < record.agentEpoch();
        return unknown || inContact && !fenced && last.fencingToken() < clusterState.fencingToken();
    }

    /** How often any worker was looked at. */
    long visits() {
        return visits;
    }

    /** Ends to be told to the keepers of their jobs, by node; each batch is asked for once. */
    public Map<String, List<AttemptCompletion>> drainCompletions() {
        return completionReporter.drainCompletions();
    }

    /** Ends that the controller of a machine has seen. */
    public void onCompletions(Collection<AttemptCompletion> notices, Instant now) {
        completionReporter.onCompletions(notices, now);
    }

    /** Takes over groups, records sessions, and marks machines that are faulty, silent, deaf or about to be taken. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        shardFailover.plan(transaction);
        recordAgentEpochs(transaction);
        jobFailures.update(
                troubled.stream()
                        .map(agents::get)
                        .filter(agent -> agent != null && !agent.hasNoFailures())
                        .toList(),
                now);
        boolean raise = false;
        troubled.removeIf(name -> !agents.containsKey(name) || !agents.get(name).hasTrouble());
        for (String name : troubled) {
            AgentState agent = agents.get(name);
            MachineRecord record = transaction.machine(name);
            if (!isInContact(record, agent)) {
                continue;
            }
            raise |= agent.unresolvedStartToken() >= transaction.fencingToken();
            handleSpotNotice(transaction, record, agent, now);
            if (transaction.machine(name).lifecycle() == MachineLifecycle.ACTIVE
                    && transaction.canPutMachine(record.name())
                    && (agent.spotTerminationAt() != null || jobFailures.isFaulty(agent, now))) {
                transaction.putMachine(record.withLifecycle(MachineLifecycle.DRAINING));
            }
        }
        if (raise && fencingTokenRaisedAt.plus(FENCING_TOKEN_PAUSE).isBefore(now) && transaction.hasCapacityFor(1)) {
            fencingTokenRaisedAt = now;
            transaction.nextFencingToken();
        }
        failureDetector.plan(transaction, now);
        terminateOverdue(transaction);
    }

    /**
     * A cancelled job's limit runs from its cancellation, whoever has led or commanded since and however often
     * listening began anew: before it is over, machines on which its tasks may still be are given up.
     */
    private void terminateOverdue(Transaction transaction) {
        for (JobRecord job : clusterState.jobs()) {
            if (!cancellationEnforcer.isOverdue(job, transaction.timeOfDay())) {
                continue;
            }
            for (Placement placement : job.livePlacements()) {
                MachineRecord record = transaction.machine(placement.machine());
                if (record != null
                        && self.equals(record.controller())
                        && record.agentEpoch() == placement.agentEpoch()
                        && record.lifecycle() != MachineLifecycle.LOST
                        && transaction.canPutMachine(record.name())
                        && !isConfirmedGone(record, AttemptId.of(job, placement))) {
                    LOG.info(
                            "gives up {}, a task of {} should have been gone",
                            record.name(),
                            job.request().id());
                    transaction.putMachine(record.withLifecycle(MachineLifecycle.LOST));
                }
            }
        }
    }

    private boolean isConfirmedGone(MachineRecord record, AttemptId id) {
        AgentState agent = agents.get(record.name());
        if (!isInContact(record, agent) || !agent.isFenced(record) || agent.hasCommandInFlight()) {
            return false;
        }
        TaskStatus task = agent.tasks().get(id);
        return task == null || task.isEnded();
    }

    /**
     * Before the cloud takes a machine away, tasks that can save are stopped in time to do so; at the end the machine
     * is returned without waiting for its silence to be noticed.
     */
    private void handleSpotNotice(Transaction transaction, MachineRecord record, AgentState agent, Instant now) {
        if (agent.spotTerminationAt() == null) {
            return;
        }
        if (!now.isBefore(agent.spotTerminationAt())) {
            if (record.lifecycle() != MachineLifecycle.LOST && transaction.canPutMachine(record.name())) {
                transaction.putMachine(record.withLifecycle(MachineLifecycle.LOST));
            }
            return;
        }
        clusterState.placementsOn(record.name()).forEach((id, placement) -> {
            JobRecord job = transaction.job(id.task().job());
            if (job == null || !job.request().hasCheckpoints() || !transaction.hasCapacityFor(2)) {
                return;
            }
            Placement current = job.placementOf(placement.task(), placement.attempt());
            Instant latest =
                    agent.spotTerminationAt().minus(CommandPlanner.grace(job)).minus(SPOT_NOTICE_MARGIN);
            if (current != null && !current.stopping() && !now.isBefore(latest)) {
                transaction.putJob(job.withStopping(current::equals));
            }
        });
    }

    private void recordAgentEpochs(Transaction transaction) {
        newAgentEpochs.removeIf(name -> {
            AgentState agent = agents.get(name);
            MachineRecord record = clusterState.machine(name);
            return agent == null
                    || agent.lastHeartbeat() == null
                    || record == null
                    || !self.equals(record.controller())
                    || record.agentEpoch() >= agent.lastHeartbeat().agentEpoch();
        });
        for (String name : newAgentEpochs) {
            MachineRecord record = transaction.machine(name);
            if (record != null && transaction.canPutMachine(name)) {
                Heartbeat heartbeat = agents.get(name).lastHeartbeat();
                transaction.putMachine(record.withAgentEpoch(heartbeat.agentEpoch(), heartbeat.address()));
            }
        }
    }

    /** Machines here that can be given tasks now. */
    public List<MachineRecord> schedulableMachines(Instant now) {
        List<MachineRecord> ready = new ArrayList<>();
        Instant recent = now.minus(heartbeatInterval.multipliedBy(2));
        for (Map.Entry<String, AgentState> entry : agents.entrySet()) {
            MachineRecord record = clusterState.machine(entry.getKey());
            AgentState agent = entry.getValue();
            if (agent.unansweredSince() == null
                    && !agent.isOutboundPartitioned()
                    && agent.lastContact().isAfter(recent)
                    && isInContact(record, agent)
                    && record.isSchedulable()
                    && agent.isFenced(record)) {
                ready.add(record);
            }
        }
        return ready;
    }

    /** Drops what is kept of machines that are gone or that another controller commands. */
    public void evictStaleAgents(Instant now) {
        if (evictedAt.plus(EVICTION_INTERVAL).isAfter(now)) {
            return;
        }
        evictedAt = now;
        agents.entrySet().removeIf(entry -> {
            MachineRecord record = clusterState.machine(entry.getKey());
            AgentState agent = entry.getValue();
            boolean mine = record != null && self.equals(record.controller());
            boolean strayed = agent.reroutedAt() != null
                    && now.isBefore(agent.reroutedAt().plus(Duration.ofMinutes(1)));
            return !mine && !strayed && !agent.hasCommandInFlight();
        });
    }
}
