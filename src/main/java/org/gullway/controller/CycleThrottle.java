package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/** Runs rounds that are asked for: each gathers what came in meanwhile, and a long one leaves twice its time after it. */
final class CycleThrottle {
    private static final Duration LEAST_PAUSE = Duration.ofMillis(10);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(300);

    private final EventLoop loop;
    private final Runnable round;
    private boolean scheduled;
    private Instant notBefore = Instant.MIN;

    CycleThrottle(EventLoop loop, Runnable round) {
        this.loop = loop;
        this.round = round;
    }

    /** Asks for a round, which comes soon but never within this call. */
    void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        Duration wait = Duration.between(loop.now(), notBefore);
        if (notBefore.equals(Instant.MIN) || wait.isNegative() || wait.isZero()) {
            loop.execute(this::run);
        } else {
            loop.after(wait, this::run);
        }
    }

    private void run() {
        scheduled = false;
        round.run();
    }

    /** Puts off the next round, after one that took this long. */
    void delayAfter(Duration took) {
        Duration pause = took.multipliedBy(2);
        if (pause.compareTo(LEAST_PAUSE) < 0) {
            pause = LEAST_PAUSE;
        } else if (pause.compareTo(LONGEST_PAUSE) > 0) {
            pause = LONGEST_PAUSE;
        }
        notBefore = loop.now().plus(pause);
    }
}
