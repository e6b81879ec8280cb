package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;

/**
 * How many commands may be on their way at a time: additive increase, multiplicative decrease. Answers that take long
 * mean that this controller is short of processor time; with more commands on their way than it can follow, answers
 * are read only after their time limit, each start without an answer costs a new epoch, and with it more messages
 * (senderos-altos-lean rough: one controller of three sent twice as many commands as the others for a minute).
 */
final class CommandWindow {
    static final int LARGEST = 128;
    static final int SMALLEST = 12;
    /** Answers later than this make the window smaller; the time limit of a command is several times as long. */
    static final Duration SLOW = Duration.ofSeconds(1);

    private static final double DECREASE = 0.75;

    private double size = LARGEST;
    private int onTheirWay;
    /** Answers to commands from before the last decrease say nothing of the present window. */
    private Instant decreasedAt = Instant.MIN;

    /** Commands on their way. */
    int onTheirWay() {
        return onTheirWay;
    }

    boolean isFull() {
        return onTheirWay >= (int) size;
    }

    void sent() {
        onTheirWay++;
    }

    /** Takes the end of a command that was sent; without an answer it says nothing of this controller. */
    void ended(Instant sent, boolean answered, Instant now) {
        onTheirWay--;
        if (!answered) {
            return;
        }
        if (Duration.between(sent, now).compareTo(SLOW) <= 0) {
            size = Math.min(LARGEST, size + 1);
        } else if (sent.isAfter(decreasedAt)) {
            size = Math.max(SMALLEST, size * DECREASE);
            decreasedAt = now;
        }
    }
}
