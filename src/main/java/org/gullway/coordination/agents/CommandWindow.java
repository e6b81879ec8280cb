package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/**
 * How many command batches may be in flight: additive increase, multiplicative decrease. Slow responses show that this
 * controller is short of processor time. With more batches than it can follow, responses are read only after their
 * timeout, each start without a response costs a new fencing token, and each token costs more messages.
 */
final class CommandWindow {
    static final int MAX_SIZE = 128;
    static final int MIN_SIZE = 12;
    /** Slower responses make the window smaller; the timeout of a command is several times as long. */
    static final Duration SLOW_RESPONSE = Duration.ofSeconds(1);

    private static final double DECREASE_FACTOR = 0.75;

    private double size = MAX_SIZE;
    private int inFlight;
    /** Responses to commands from before the last decrease say nothing about the present size. */
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

    /** Takes the outcome of a batch that was sent; one without a response says nothing about this controller. */
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
