package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/**
 * Tracks whether an agent sends its heartbeats to this controller although another controller commands its machine,
 * and whether the last of these rerouted heartbeats was accepted.
 */
final class RerouteState {
    private static final Duration RETENTION = Duration.ofMinutes(1);

    /** When the current sequence of rerouted heartbeats began; null if there is none. */
    private Instant startedAt;

    private boolean acceptedLast;
    /** When the last rerouted heartbeat was accepted; null if it was redirected. */
    private Instant acceptedAt;

    void start(Instant now) {
        startedAt = now;
        clearAcceptance();
    }

    void end() {
        startedAt = null;
        clearAcceptance();
    }

    private void clearAcceptance() {
        acceptedLast = false;
        acceptedAt = null;
    }

    boolean isActive() {
        return startedAt != null;
    }

    boolean isStartedWithin(Duration span, Instant now) {
        return startedAt != null && !startedAt.plus(span).isBefore(now);
    }

    /** Returns whether the agent's state is still needed although another controller commands the machine. */
    boolean isRetained(Instant now) {
        return startedAt != null && now.isBefore(startedAt.plus(RETENTION));
    }

    /**
     * Accepts every other heartbeat. An agent that cannot reach the controller of its machine must not stay with a
     * controller that does not command the machine.
     */
    boolean tryAccept(Instant now) {
        acceptedLast = !acceptedLast;
        acceptedAt = acceptedLast ? now : null;
        return acceptedLast;
    }

    /**
     * Returns whether the last rerouted heartbeat was accepted, at most this long ago. An agent that is back this soon
     * has received the response.
     */
    boolean wasAcceptedWithin(Duration span, Instant now) {
        return acceptedAt != null && !acceptedAt.plus(span).isBefore(now);
    }
}
