package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/** The state of direct commands to one agent: at most one batch is in flight, and failed ones are retried later. */
final class CommandChannel {
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private boolean inFlight;
    private Instant notBefore = Instant.MIN;
    /** When the first of the unanswered commands was sent; null if the last command was answered. */
    private Instant unansweredSince;

    private Instant probedAt = Instant.MIN;

    boolean isInFlight() {
        return inFlight;
    }

    boolean maySend(Instant now) {
        return !inFlight && !now.isBefore(notBefore);
    }

    void onSent() {
        inFlight = true;
    }

    void onAnswered() {
        inFlight = false;
        unansweredSince = null;
    }

    /** The batch had no response, or none that is known of. */
    void onFailed(Instant sentAt, Instant retryAt) {
        unansweredSince = unansweredSince == null ? sentAt : unansweredSince;
        onDeferred(retryAt);
    }

    /** The batch was not sent for a reason that says nothing about the agent. */
    void onDeferred(Instant retryAt) {
        inFlight = false;
        notBefore = retryAt;
    }

    /** Whether commands go unanswered; heartbeats alone do not show that the agent receives anything. */
    boolean isUnanswered() {
        return unansweredSince != null;
    }

    /** When the first of the unanswered commands was sent, or null. */
    Instant unansweredSince() {
        return unansweredSince;
    }

    /** Forgets unanswered commands, which another controller's period of command does not explain. */
    void clearUnanswered() {
        unansweredSince = null;
    }

    /** Whether a batch without commands may be sent now, and if so counts it: limits their rate to an unresponsive agent. */
    boolean tryProbe(Instant now) {
        if (probedAt.plus(PROBE_INTERVAL).isAfter(now)) {
            return false;
        }
        probedAt = now;
        return true;
    }
}
