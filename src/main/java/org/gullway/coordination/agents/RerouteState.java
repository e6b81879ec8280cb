package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/** Whether an agent sends its heartbeats here although another controller commands its machine, and how it was answered. */
final class RerouteState {
    private static final Duration RETENTION = Duration.ofMinutes(1);

    /** When the first rerouted heartbeat came; null if this controller commands the machine. */
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

    /** Whether the agent's state is still of use although another controller commands the machine. */
    boolean isRetained(Instant now) {
        return startedAt != null && now.isBefore(startedAt.plus(RETENTION));
    }

    /** Accepts every other heartbeat: an agent cut off from its controller alone must not stay where none commands it. */
    boolean tryAccept(Instant now) {
        acceptedLast = !acceptedLast;
        acceptedAt = acceptedLast ? now : null;
        return acceptedLast;
    }

    /** Whether the last heartbeat was accepted within this span: the agent came back, so it receives responses. */
    boolean wasAcceptedWithin(Duration span, Instant now) {
        return acceptedAt != null && !acceptedAt.plus(span).isBefore(now);
    }
}
