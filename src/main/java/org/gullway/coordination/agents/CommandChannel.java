package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/** Tracks the command batches to one agent. At most one batch is in flight, and failed batches are retried later. */
final class CommandChannel {
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private boolean inFlight;
    private Instant notBefore = Instant.MIN;
    /** When the first unanswered command batch was sent; null if the last one was answered. */
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

    /** Called when a batch has no known response. */
    void onFailed(Instant sentAt, Instant retryAt) {
        unansweredSince = unansweredSince == null ? sentAt : unansweredSince;
        onDeferred(retryAt);
    }

    /** Called when a batch was not sent for a reason that says nothing about the agent. */
    void onDeferred(Instant retryAt) {
        inFlight = false;
        notBefore = retryAt;
    }

    /** Returns whether commands go unanswered. Heartbeats alone do not show that the agent receives anything. */
    boolean isUnanswered() {
        return unansweredSince != null;
    }

    /** Returns when the first unanswered command batch was sent, or null if the last one was answered. */
    Instant unansweredSince() {
        return unansweredSince;
    }

    /**
     * Discards unanswered commands at a failover. Commands of an earlier period do not show whether the agent answers
     * now.
     */
    void clearUnanswered() {
        unansweredSince = null;
    }

    /**
     * Returns whether a batch without commands (a probe) may be sent now, and if so counts it as sent. This limits the
     * rate of probes to an unresponsive agent.
     */
    boolean tryProbe(Instant now) {
        if (probedAt.plus(PROBE_INTERVAL).isAfter(now)) {
            return false;
        }
        probedAt = now;
        return true;
    }
}
