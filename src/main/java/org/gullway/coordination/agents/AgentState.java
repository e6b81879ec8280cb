package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this controller knows of one agent: its newest message, and what is open between the two. */
final class AgentState {
    private static final Logger LOG = LoggerFactory.getLogger(AgentState.class);

    private final CommandChannel commands = new CommandChannel();
    private final CompletionReports completionReports = new CompletionReports();
    private final TaskFailures failures = new TaskFailures();
    private final RerouteState reroute = new RerouteState();
    private final Consumer<Instant> wakeups;

    private Heartbeat lastHeartbeat;
    private Map<AttemptId, TaskStatus> tasks = Map.of();
    /** For attempts that ended without completing: the agent's fencing token when that was first seen. */
    private final Map<AttemptId, Long> endedAtToken = new HashMap<>();

    private Instant lastContact;
    private Instant lastMessageAt = Instant.MIN;
    private boolean outboundPartitioned;
    private Instant spotTerminationAt;
    private long commandedUnderToken;
    /** A start was sent under this token and its outcome is open; only a higher confirmed token rules it out. */
    private long unresolvedStartToken;

    private Instant nextWakeup = Instant.MIN;

    /**
     * @param contactExpectedSince when this controller began to expect messages of the agent
     * @param wakeups takes each moment at which the agent has to be reconciled, the first one at once
     */
    AgentState(Instant contactExpectedSince, Consumer<Instant> wakeups) {
        this.lastContact = contactExpectedSince;
        this.wakeups = wakeups;
        wakeups.accept(nextWakeup);
    }

    CommandChannel commands() {
        return commands;
    }

    CompletionReports completionReports() {
        return completionReports;
    }

    TaskFailures failures() {
        return failures;
    }

    RerouteState reroute() {
        return reroute;
    }

    /** Takes a heartbeat; false if a newer message is known, and then nothing has changed. */
    boolean onHeartbeat(Heartbeat heartbeat, Instant now) {
        outboundPartitioned &= lastHeartbeat != null && !isNewer(heartbeat);
        return accept(heartbeat, now);
    }

    /**
     * Takes the response to a command. If it brings a newer agent epoch, the agent's lease has expired although
     * commands reach it: its heartbeats reach no controller, and tasks placed there would end with the next lease.
     */
    void onCommandResponse(Heartbeat response, Instant now) {
        outboundPartitioned |= lastHeartbeat != null && response.agentEpoch() > lastHeartbeat.agentEpoch();
        accept(response, now);
    }

    /** Whether a lease has expired since the last heartbeat while commands were answered. */
    boolean isOutboundPartitioned() {
        return outboundPartitioned;
    }

    private boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(lastHeartbeat.agentEpoch(), lastHeartbeat.sequence());
    }

    private boolean accept(Heartbeat heartbeat, Instant now) {
        if (lastHeartbeat != null && !isNewer(heartbeat)) {
            return false;
        }
        if (lastHeartbeat != null && lastHeartbeat.agentEpoch() != heartbeat.agentEpoch()) {
            endedAtToken.clear();
            completionReports.clear();
            spotTerminationAt = null;
        }
        boolean unchanged = lastHeartbeat != null
                && lastHeartbeat.agentEpoch() == heartbeat.agentEpoch()
                && lastHeartbeat.fencingToken() == heartbeat.fencingToken()
                && lastHeartbeat.tasks().equals(heartbeat.tasks());
        lastHeartbeat = heartbeat;
        lastContact = now;
        lastMessageAt = now;
        if (!unchanged) {
            updateTasks(heartbeat);
            wakeAt(now);
        }
        updateSpotNotice(heartbeat, now);
        return true;
    }

    private void updateTasks(Heartbeat heartbeat) {
        Map<AttemptId, TaskStatus> next = new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            AttemptId id = new AttemptId(task.task(), task.attempt());
            next.put(id, task);
            if (LOG.isDebugEnabled()) {
                logPhaseChange(tasks.get(id), task, heartbeat.machine());
            }
            if (task.isEnded() && task.cause() != TaskStatus.Cause.DONE) {
                endedAtToken.putIfAbsent(id, heartbeat.fencingToken());
            }
        }
        endedAtToken.keySet().retainAll(next.keySet());
        completionReports.retainAll(next.keySet());
        tasks = next;
    }

    private static void logPhaseChange(TaskStatus before, TaskStatus task, String machine) {
        if (before == null || before.phase() != task.phase()) {
            LOG.debug(
                    "task changed its phase machine={} task={} attempt={} phase={} cause={}",
                    machine,
                    task.task(),
                    task.attempt(),
                    task.phase(),
                    task.cause());
        }
    }

    private void updateSpotNotice(Heartbeat heartbeat, Instant now) {
        if (heartbeat.spotNotice() == null) {
            spotTerminationAt = null;
        } else if (spotTerminationAt == null) {
            spotTerminationAt = now.plus(heartbeat.spotNotice());
            wakeAt(now);
        }
    }

    /** The newest message, or null if there was none yet. */
    Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /** When its last message came, or when this controller began to expect messages if that was later. */
    Instant lastContact() {
        return lastContact;
    }

    /** When its last message came. */
    Instant lastMessageAt() {
        return lastMessageAt;
    }

    /** Since when the agent may be unreachable: its last contact, or the first unanswered command if that was earlier. */
    Instant unreachableSince() {
        Instant unansweredSince = commands.unansweredSince();
        return unansweredSince == null || lastContact.isBefore(unansweredSince) ? lastContact : unansweredSince;
    }

    /** When the cloud takes the machine away, or null without a spot notice. */
    Instant spotTerminationAt() {
        return spotTerminationAt;
    }

    /** Whether the agent now refuses every command that could still arrive from before. */
    boolean isFenced(MachineRecord record) {
        return lastHeartbeat != null
                && lastHeartbeat.fencingToken() >= record.fencingToken()
                && lastHeartbeat.fencingToken() > unresolvedStartToken;
    }

    /** The highest fencing token under which a start was sent whose outcome is unknown; 0 if there is none. */
    long unresolvedStartToken() {
        return unresolvedStartToken;
    }

    /** The outcome of a start sent under this token will never be known. */
    void onUnknownStartOutcome(long fencingToken) {
        unresolvedStartToken = Math.max(unresolvedStartToken, fencingToken);
    }

    /**
     * Whether the agent may forget an ended attempt. One that did not complete is kept until commands from the time of
     * its start are refused: a duplicate start that arrives later would run a forgotten attempt again.
     */
    boolean mayForget(AttemptId id, TaskStatus task) {
        return task.cause() == TaskStatus.Cause.DONE
                || lastHeartbeat.fencingToken() > endedAtToken.getOrDefault(id, Long.MAX_VALUE);
    }

    /**
     * This controller commands the machine under the token. Missing messages from before a failover say nothing about
     * the agent, which had no reason to send them here.
     */
    void onCommandedUnder(long fencingToken, Instant now) {
        if (fencingToken != commandedUnderToken) {
            commandedUnderToken = fencingToken;
            lastContact = now;
            commands.clearUnanswered();
        }
    }

    /** Whether an unresolved start, a spot notice or failed tasks may call for a change of records. */
    boolean mayNeedRecordChange() {
        return unresolvedStartToken != 0 || spotTerminationAt != null || !failures.isEmpty();
    }

    /** Asks for reconciliation at this moment or earlier. */
    void wakeAt(Instant at) {
        if (at.isBefore(nextWakeup)) {
            nextWakeup = at;
            wakeups.accept(at);
        }
    }

    boolean isDue(Instant now) {
        return !nextWakeup.isAfter(now);
    }

    /** It is being reconciled now; until it asks again, it is not due. */
    void onReconciliation() {
        nextWakeup = Instant.MAX;
    }
}
