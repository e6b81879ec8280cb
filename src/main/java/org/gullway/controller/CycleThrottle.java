package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/**
 * Runs requested cycles with pauses in between: all requests during a pause are served by one cycle, and a long cycle is
 * followed by a long pause, so that heartbeats and requests get their part of the processor.
 */
final class CycleThrottle {
    private static final Duration MIN_PAUSE = Duration.ofMillis(10);
    private static final Duration MAX_PAUSE = Duration.ofMillis(300);
    private static final int PAUSE_PER_CYCLE_TIME = 2;

    private final EventLoop loop;
    private final Runnable cycle;
    private boolean scheduled;
    private Instant notBefore = Instant.MIN;

    CycleThrottle(EventLoop loop, Runnable cycle) {
        this.loop = loop;
        this.cycle = cycle;
    }

    /** Requests a cycle, which runs after the present pause but never within this call. */
    void schedule() {
        if (scheduled) {
            return;
        }
        scheduled = true;
        Duration delay = Duration.between(loop.now(), notBefore);
        if (notBefore.equals(Instant.MIN) || delay.isNegative() || delay.isZero()) {
            loop.execute(this::run);
        } else {
            loop.after(delay, this::run);
        }
    }

    private void run() {
        scheduled = false;
        cycle.run();
    }

    /** Starts the pause after a cycle that took this long. */
    void delayAfter(Duration elapsed) {
        Duration pause = elapsed.multipliedBy(PAUSE_PER_CYCLE_TIME);
        if (pause.compareTo(MIN_PAUSE) < 0) {
            pause = MIN_PAUSE;
        } else if (pause.compareTo(MAX_PAUSE) > 0) {
            pause = MAX_PAUSE;
        }
        notBefore = loop.now().plus(pause);
    }
}
