package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the number of command batches in flight by additive increase and multiplicative decrease. Slow responses show
 * that this controller is short of processor time. With more batches in flight than it can process, it reads responses
 * only after their timeout. Each start without a response costs a new fencing token, and each new token costs more
 * messages.
 */
final class CommandWindow {
    static final int MAX_SIZE = 128;
    static final int MIN_SIZE = 12;
    /** A response slower than this shrinks the window. The command timeout is several times as long. */
    static final Duration SLOW_RESPONSE = Duration.ofSeconds(1);

    private static final double DECREASE_FACTOR = 0.75;

    private double size = MAX_SIZE;
    private int inFlight;
    /**
     * When the window was last decreased. Slow responses to batches that were sent earlier do not decrease it again,
     * since they do not reflect the current size.
     */
    private Instant decreasedAt = Instant.MIN;

    int inFlight() {
        return inFlight;
    }

    boolean isFull() {
        return inFlight >= (int) size;
    }

    void onSent() {
        inFlight++;
    }

    /**
     * Handles the outcome of a batch. A missing response leaves the window unchanged, since it says nothing about the
     * load of this controller.
     */
    void onOutcome(Instant sentAt, boolean answered, Instant now) {
        inFlight--;
        if (!answered) {
            return;
        }
        if (Duration.between(sentAt, now).compareTo(SLOW_RESPONSE) <= 0) {
            size = Math.min(MAX_SIZE, size + 1);
        } else if (sentAt.isAfter(decreasedAt)) {
            size = Math.max(MIN_SIZE, size * DECREASE_FACTOR);
            decreasedAt = now;
        }
    }
}
