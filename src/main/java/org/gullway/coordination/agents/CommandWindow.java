package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;

/**
 * How many commands may be on their way at a time: additive increase, multiplicative decrease. Answers that take long
 * mean that this controller is short of processor time; with more commands on their way than it can follow, answers
 * are read only after their time limit, each start without an answer costs a new epoch, and with it more messages
 * (senderos-altos-lean rough: one controller of three sent twice as many commands as the others for a minute).
 */
final class CommandWindow {
    static final int MAX_SIZE = 128;
    static final int MIN_SIZE = 12;
    /** Answers later than this make the window smaller; the time limit of a command is several times as long. */
    static final Duration SLOW_RESPONSE = Duration.ofSeconds(1);

    private static final double DECREASE = 0.75;

    private double size = MAX_SIZE;
    private int inFlight;
    /** Answers to commands from before the last decrease say nothing of the present window. */
    private Instant decreasedAt = Instant.MIN;

    /** Commands on their way. */
    int inFlight() {
        return inFlight;
    }

    boolean isFull() {
        return inFlight >= (int) size;
    }

    void onSent() {
        inFlight++;
    }

    /** Takes the end of a command that was sent; without an answer it says nothing of this controller. */
    void onOutcome(Instant sent, boolean answered, Instant now) {
        inFlight--;
        if (!answered) {
            return;
        }
        if (Duration.between(sent, now).compareTo(SLOW_RESPONSE) <= 0) {
            size = Math.min(MAX_SIZE, size + 1);
        } else if (sent.isAfter(decreasedAt)) {
            size = Math.max(MIN_SIZE, size * DECREASE);
            decreasedAt = now;
        }
    }
}
