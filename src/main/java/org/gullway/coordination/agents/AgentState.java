package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.TaskStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What this controller knows of a worker that reports to it: the newest of the worker's messages, and what is open. */
final class AgentState {
    private static final Logger LOG = LoggerFactory.getLogger(AgentState.class);

    private Heartbeat lastHeartbeat;
    private Map<AttemptId, TaskStatus> tasks = Map.of();
    /** For attempts that ended without completing: the worker's token when that was first seen. */
    private final Map<AttemptId, Long> endedAtToken = new HashMap<>();
    /** When the keeper of the job was first and last told of an end that is not on record yet. */
    private final Map<AttemptId, CompletionReport> completionReports = new HashMap<>();

    private Instant lastContact;
    private Instant lastMessageAt = Instant.MIN;
    private long commandedUnderToken;
    private Instant spotTerminationAt;
    /** A start was sent under this token and its outcome is open; only a higher confirmed token rules it out. */
    private long unresolvedStartToken;

    private boolean commandInFlight;
    private Instant commandsNotBefore = Instant.MIN;
    /** Since when commands have had no answer; reports alone do not show that the machine hears. */
    private Instant unansweredSince;

    private boolean outboundPartitioned;
    private Instant probedAt = Instant.MIN;
    private Instant nextVisit = Instant.MIN;
    /** When the worker first came here although another controller commands its machine. */
    private Instant reroutedAt;

    private boolean acceptedLast;
    /** When it was last answered with 200 although another controller commands its machine; null if sent on since. */
    private Instant acceptedAt;

    private final Map<String, Instant> failedJobs = new HashMap<>();

    private record CompletionReport(Instant first, Instant last) {}

    private final Consumer<Instant> wakeups;

    /**
     * @param heard when this controller began to count the worker's silence
     * @param lookRequests is told of every moment at which the worker has to be looked at, the first time at once
     */
    AgentState(Instant heard, Consumer<Instant> wakeups) {
        this.lastContact = heard;
        this.wakeups = wakeups;
        wakeups.accept(nextVisit);
    }

    /** Takes a report; false if a newer message is known, and then nothing has changed. */
    boolean onHeartbeat(Heartbeat heartbeat, Instant now) {
        outboundPartitioned &=
                lastHeartbeat != null && !heartbeat.isNewerThan(lastHeartbeat.agentEpoch(), lastHeartbeat.sequence());
        return accept(heartbeat, now);
    }

    /**
     * Takes the answer to a command. If it brings a newer session, the worker's lease has run out although commands
     * reach it: its reports reach nobody, and whatever is placed there would end with the next lease.
     */
    void onCommandResponse(Heartbeat answer, Instant now) {
        outboundPartitioned |= lastHeartbeat != null && answer.agentEpoch() > lastHeartbeat.agentEpoch();
        accept(answer, now);
    }

    /** Whether a lease has run out since the last report, while commands were answered. */
    boolean isOutboundPartitioned() {
        return outboundPartitioned;
    }

    private boolean accept(Heartbeat heartbeat, Instant now) {
        if (lastHeartbeat != null && !heartbeat.isNewerThan(lastHeartbeat.agentEpoch(), lastHeartbeat.sequence())) {
            return false;
        }
        if (lastHeartbeat != null && lastHeartbeat.agentEpoch() != heartbeat.agentEpoch()) {
            endedAtToken.clear();
            completionReports.clear();
            spotTerminationAt = null;
        }
        boolean same = lastHeartbeat != null
                && lastHeartbeat.agentEpoch() == heartbeat.agentEpoch()
                && lastHeartbeat.fencingToken() == heartbeat.fencingToken()
                && lastHeartbeat.tasks().equals(heartbeat.tasks());
        lastHeartbeat = heartbeat;
        lastContact = now;
        lastMessageAt = now;
        if (!same) {
            takeTasks(heartbeat);
            wakeAt(now);
        }
        if (heartbeat.spotNotice() == null) {
            spotTerminationAt = null;
        } else if (spotTerminationAt == null) {
            spotTerminationAt = now.plus(heartbeat.spotNotice());
            wakeAt(now);
        }
        return true;
    }

    private void takeTasks(Heartbeat heartbeat) {
        Map<AttemptId, TaskStatus> next = new HashMap<>();
        for (TaskStatus task : heartbeat.tasks()) {
            AttemptId id = new AttemptId(task.task(), task.attempt());
            next.put(id, task);
            if (LOG.isDebugEnabled()) {
                TaskStatus before = tasks.get(id);
                if (before == null || before.phase() != task.phase()) {
                    LOG.debug(
                            "{}#{} is {} {} on {}",
                            task.task(),
                            task.attempt(),
                            task.phase(),
                            task.cause(),
                            heartbeat.machine());
                }
            }
            if (task.isEnded() && task.cause() != TaskStatus.Cause.DONE) {
                endedAtToken.putIfAbsent(id, heartbeat.fencingToken());
            }
        }
        endedAtToken.keySet().retainAll(next.keySet());
        completionReports.keySet().retainAll(next.keySet());
        tasks = next;
    }

    Heartbeat lastHeartbeat() {
        return lastHeartbeat;
    }

    Map<AttemptId, TaskStatus> tasks() {
        return tasks;
    }

    /** Since when it counts as silent: its last message, or the beginning of listening to it. */
    Instant lastContact() {
        return lastContact;
    }

    /** When its last message came. */
    Instant lastMessageAt() {
        return lastMessageAt;
    }

    /** When the cloud takes the machine away, or null. */
    Instant spotTerminationAt() {
        return spotTerminationAt;
    }

    /** Whether every command that could still arrive from before is refused by the worker now. */
    boolean isFenced(MachineRecord record) {
        return lastHeartbeat != null
                && lastHeartbeat.fencingToken() >= record.fencingToken()
                && lastHeartbeat.fencingToken() > unresolvedStartToken;
    }

    long unresolvedStartToken() {
        return unresolvedStartToken;
    }

    boolean hasCommandInFlight() {
        return commandInFlight;
    }

    boolean mayCommand(Instant now) {
        return !commandInFlight && !now.isBefore(commandsNotBefore);
    }

    void onCommandSent() {
        commandInFlight = true;
    }

    void onCommandAnswered(Instant now) {
        commandInFlight = false;
        unansweredSince = null;
        wakeAt(now);
    }

    void onCommandFailed(Instant sent, Instant now, Duration quiet) {
        unansweredSince = unansweredSince == null ? sent : unansweredSince;
        onCommandDeferred(now, quiet);
    }

    void onCommandDeferred(Instant now, Duration quiet) {
        commandInFlight = false;
        commandsNotBefore = now.plus(quiet);
        wakeAt(commandsNotBefore);
    }

    /** Whether to ask a worker of which nothing is known yet; not again and again while it is silent. */
    boolean mayProbe(Instant now) {
        if (probedAt.plusSeconds(1).isAfter(now)) {
            return false;
        }
        probedAt = now;
        return true;
    }

    Instant unansweredSince() {
        return unansweredSince;
    }

    /** Asks to be looked at by then. */
    void wakeAt(Instant at) {
        if (at.isBefore(nextVisit)) {
            nextVisit = at;
            wakeups.accept(at);
        }
    }

    boolean isDue(Instant now) {
        return !nextVisit.isAfter(now);
    }

    void onVisited() {
        nextVisit = Instant.MAX;
    }

    /** The outcome of a start sent under this token will never be known. */
    void onUnknownStartOutcome(long fencingToken) {
        unresolvedStartToken = Math.max(unresolvedStartToken, fencingToken);
    }

    /**
     * An attempt that ended without completing is forgotten by the worker only once commands of the time of its start
     * are refused: a start that arrives a second time would begin a forgotten attempt again.
     */
    boolean mayForget(AttemptId id, TaskStatus task) {
        return task.cause() == TaskStatus.Cause.DONE
                || lastHeartbeat.fencingToken() > endedAtToken.getOrDefault(id, Long.MAX_VALUE);
    }

    /** Whether the keeper is to be told of this end now, and since when it was told. */
    boolean shouldReport(AttemptId id, Instant now, Duration pause) {
        CompletionReport before = completionReports.get(id);
        if (before != null && before.last().plus(pause).isAfter(now)) {
            return false;
        }
        completionReports.put(id, new CompletionReport(before == null ? now : before.first(), now));
        return true;
    }

    boolean isReportedBefore(AttemptId id, Instant limit) {
        return completionReports.containsKey(id)
                && completionReports.get(id).first().isBefore(limit);
    }

    /**
     * Its machine is commanded here under this epoch. What was heard before a takeover says nothing: a worker that had
     * only passed by here long ago was once given up at the moment of the takeover (FaultsTest, zone that is cut off).
     */
    void onCommandedUnder(long fencingToken, Instant now) {
        if (fencingToken != commandedUnderToken) {
            commandedUnderToken = fencingToken;
            lastContact = now;
            unansweredSince = null;
        }
    }

    Instant reroutedAt() {
        return reroutedAt;
    }

    void onRerouted(Instant at) {
        reroutedAt = at;
        acceptedLast = false;
        acceptedAt = null;
    }

    /** Every other time: a worker that alone cannot reach its controller must not stay where nobody commands it. */
    boolean acceptsNextHeartbeat(Instant now) {
        acceptedLast = !acceptedLast;
        acceptedAt = acceptedLast ? now : null;
        return acceptedLast;
    }

    /** Whether its last report here was answered with 200 no longer ago than this: it came back, so it hears. */
    boolean wasAcceptedWithin(Duration span, Instant now) {
        return acceptedAt != null && !acceptedAt.plus(span).isBefore(now);
    }

    void onTaskFailed(String job, Instant now) {
        failedJobs.put(job, now);
    }

    void onTaskSucceeded() {
        failedJobs.clear();
    }

    boolean hasNoFailures() {
        return failedJobs.isEmpty();
    }

    /** Whether a start without an outcome, a notice or failed tasks may call for a change of the records. */
    boolean hasTrouble() {
        return unresolvedStartToken != 0 || spotTerminationAt != null || !failedJobs.isEmpty();
    }

    /** Jobs of which tasks failed here lately, with no success since. */
    Set<String> recentlyFailedJobs(Instant now, Duration window) {
        failedJobs.values().removeIf(at -> at.plus(window).isBefore(now));
        return new HashSet<>(failedJobs.keySet());
    }
}
