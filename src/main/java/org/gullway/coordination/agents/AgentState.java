package org.gullway.coordination.agents;

import java.time.Instant;
import java.util.Map;
import java.util.function.Consumer;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.TaskStatus;

/**
 * The state of one agent as known to this controller: the agent's newest message, and the commands, completion reports
 * and reroutes that are still open.
 */
final class AgentState {
    private final CommandChannel commands = new CommandChannel();
    private final CompletionReports completionReports = new CompletionReports();
    private final TaskFailures failures = new TaskFailures();
    private final RerouteState reroute = new RerouteState();
    private final ListedAttempts listedAttempts = new ListedAttempts();
    private final Consumer<Instant> addWakeup;

    private Heartbeat lastMessage;
    private Instant contactTimeoutStart;
    private Instant lastMessageAt = Instant.MIN;
    private boolean outboundPartitioned;
    private Instant spotTerminationAt;
    private Count fencingTokenOnRecord = Count.ZERO;
    /**
     * The highest fencing token under which a start with unknown outcome was sent, or 0; never reset. Only when the
     * agent confirms a higher token is it certain that the start can no longer arrive.
     */
    private Count highestUnknownStartToken = Count.ZERO;

    private Instant nextWakeup = Instant.MIN;

    /**
     * @param contactExpectedSince when this controller began to expect messages from the agent
     * @param addWakeup called with each time at which the agent must be reconciled, first with {@link Instant#MIN}
     */
    AgentState(Instant contactExpectedSince, Consumer<Instant> addWakeup) {
        this.contactTimeoutStart = contactExpectedSince;
        this.addWakeup = addWakeup;
        addWakeup.accept(nextWakeup);
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

    ListedAttempts listedAttempts() {
        return listedAttempts;
    }

    /**
     * Handles a heartbeat. Returns false and changes nothing if this message or a newer one has been handled before.
     */
    boolean onHeartbeat(Heartbeat heartbeat, Instant now) {
        outboundPartitioned &= lastMessage != null && !isNewer(heartbeat);
        return accept(heartbeat, now);
    }

    /**
     * Handles the response to a command batch. A newer agent epoch in the response means that the agent's lease
     * expired although commands reach the agent, so its heartbeats reach no controller. The agent then counts as
     * outbound-partitioned until a newer heartbeat arrives, since tasks placed on its machine would end when the new
     * lease expires, too.
     */
    void onCommandResponse(Heartbeat response, Instant now) {
        outboundPartitioned |= lastMessage != null && response.agentEpoch().isGreaterThan(lastMessage.agentEpoch());
        accept(response, now);
    }

    /** Returns whether a lease of the agent has expired since its last heartbeat while the agent answered commands. */
    boolean isOutboundPartitioned() {
        return outboundPartitioned;
    }

    private boolean isNewer(Heartbeat heartbeat) {
        return heartbeat.isNewerThan(lastMessage);
    }

    private boolean accept(Heartbeat heartbeat, Instant now) {
        if (lastMessage != null && !isNewer(heartbeat)) {
            return false;
        }
        if (lastMessage != null && !lastMessage.agentEpoch().equals(heartbeat.agentEpoch())) {
            listedAttempts.onNewAgentEpoch();
            completionReports.clear();
            spotTerminationAt = null;
        }
        boolean unchanged = lastMessage != null
                && lastMessage.agentEpoch().equals(heartbeat.agentEpoch())
                && lastMessage.fencingToken().equals(heartbeat.fencingToken())
                && lastMessage.tasks().equals(heartbeat.tasks());
        lastMessage = heartbeat;
        contactTimeoutStart = now;
        lastMessageAt = now;
        if (!unchanged) {
            completionReports.retainAll(listedAttempts.update(heartbeat));
            wakeAt(now);
        }
        updateSpotNotice(heartbeat, now);
        return true;
    }

    private void updateSpotNotice(Heartbeat heartbeat, Instant now) {
        if (heartbeat.spotNotice() == null) {
            spotTerminationAt = null;
        } else if (spotTerminationAt == null) {
            spotTerminationAt = now.plus(heartbeat.spotNotice());
            wakeAt(now);
        }
    }

    /** Returns the agent's newest message, or null if there is none yet. */
    Heartbeat lastMessage() {
        return lastMessage;
    }

    Map<AttemptId, TaskStatus> tasks() {
        return listedAttempts.tasks();
    }

    /**
     * Returns the start of the contact timeout: the time of the agent's last message or, if later, the time at which
     * this controller began to expect messages.
     */
    Instant contactTimeoutStart() {
        return contactTimeoutStart;
    }

    /** Returns when the agent's last message came. */
    Instant lastMessageAt() {
        return lastMessageAt;
    }

    /**
     * Returns since when the agent may be unreachable: the start of the contact timeout, or the first unanswered
     * command if that was sent earlier.
     */
    Instant unreachableSince() {
        Instant unansweredSince = commands.unansweredSince();
        return unansweredSince == null || contactTimeoutStart.isBefore(unansweredSince)
                ? contactTimeoutStart
                : unansweredSince;
    }

    /** Returns when the cloud provider terminates the machine, or null without a spot notice. */
    Instant spotTerminationAt() {
        return spotTerminationAt;
    }

    /**
     * Returns whether the agent has confirmed a fencing token that makes it refuse every earlier command that may
     * still arrive.
     */
    boolean hasConfirmedFencingToken(MachineRecord record) {
        return lastMessage != null
                && lastMessage.fencingToken().isAtLeast(record.fencingToken())
                && lastMessage.fencingToken().isGreaterThan(highestUnknownStartToken);
    }

    /** Returns the highest fencing token under which a start with unknown outcome was sent, or 0 if there was none. */
    Count highestUnknownStartToken() {
        return highestUnknownStartToken;
    }

    /** Records that the outcome of a start sent under this fencing token will never be known. */
    void onUnknownStartOutcome(Count fencingToken) {
        highestUnknownStartToken = Count.max(highestUnknownStartToken, fencingToken);
    }

    /** Returns whether the agent may forget an ended attempt, see {@link ListedAttempts#mayForget}. */
    boolean mayForget(AttemptId id, TaskStatus task, boolean jobDone) {
        return listedAttempts.mayForget(id, task, jobDone, lastMessage.fencingToken());
    }

    /**
     * Called when this controller commands the machine under this fencing token. A new token restarts the contact
     * timeout: before the failover the agent had no reason to send messages to this controller, so missing messages
     * say nothing about the agent.
     */
    void onFencingTokenOnRecord(Count fencingToken, Instant now) {
        if (!fencingToken.equals(fencingTokenOnRecord)) {
            fencingTokenOnRecord = fencingToken;
            contactTimeoutStart = now;
            commands.clearUnanswered();
        }
    }

    /**
     * Returns whether a start with unknown outcome, a spot notice, failed tasks or a long list of attempts may require
     * a change of records.
     */
    boolean mayNeedRecordChange() {
        return !highestUnknownStartToken.isZero()
                || spotTerminationAt != null
                || !failures.isEmpty()
                || listedAttempts.hasHeldBackStarts()
                || listedAttempts.isNearlyFull();
    }

    /** Makes the agent due for reconciliation at this time, unless it is due earlier. */
    void wakeAt(Instant at) {
        if (at.isBefore(nextWakeup)) {
            nextWakeup = at;
            addWakeup.accept(at);
        }
    }

    boolean isDue(Instant now) {
        return !nextWakeup.isAfter(now);
    }

    /** Called when the agent is reconciled. It is not due again until {@link #wakeAt} is called. */
    void onReconciliation() {
        nextWakeup = Instant.MAX;
    }
}
