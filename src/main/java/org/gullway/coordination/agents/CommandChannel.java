package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/** Tracks the command batches to one agent. At most one batch is in flight, and failed batches are retried later. */
final class CommandChannel {
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);

    private boolean inFlight;
    private Instant notBefore = Instant.MIN;
    /**
     * The send time of the earliest batch that failed since the last response or call of {@link #clearUnanswered}; null
     * if none has failed since then.
     */
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

    /**
     * Returns whether commands go unanswered. A heartbeat does not change this, since it does not show that the agent
     * receives anything.
     */
    boolean isUnanswered() {
        return unansweredSince != null;
    }

    /**
     * Returns the send time of the earliest batch that failed since the last response or call of {@link
     * #clearUnanswered}, or null if none has failed since then.
     */
    Instant unansweredSince() {
        return unansweredSince;
    }

    /**
     * Discards unanswered commands at a failover. Commands sent under an earlier fencing token do not show whether the
     * agent answers now.
     */
    void clearUnanswered() {
        unansweredSince = null;
    }

    /**
     * Returns whether a probe, that is, a batch without commands, may be sent now, and if so counts it as sent. This
     * limits the rate of probes. It does not limit the retries while commands go unanswered.
     */
    boolean tryProbe(Instant now) {
        if (probedAt.plus(PROBE_INTERVAL).isAfter(now)) {
            return false;
        }
        probedAt = now;
        return true;
    }
}
