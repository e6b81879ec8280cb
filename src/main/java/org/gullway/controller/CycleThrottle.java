package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/**
 * Runs scheduling cycles on request, but not during a pause. One cycle serves all requests made during a pause. The
 * owner of this object starts a pause after a cycle with {@link #startPause}. A pause is proportional to the duration
 * of the cycle, within limits, so that heartbeats and users' requests get their share of the CPU time.
 */
final class CycleThrottle {
    private static final Duration MIN_PAUSE = Duration.ofMillis(10);
    private static final Duration MAX_PAUSE = Duration.ofMillis(300);
    private static final int PAUSE_TO_CYCLE_RATIO = 2;

    private final EventLoop loop;
    private final Runnable cycle;
    private boolean cyclePending;
    /** When the last pause ends or ended; {@link Instant#MIN} before the first pause. */
    private Instant pauseEnd = Instant.MIN;

    CycleThrottle(EventLoop loop, Runnable cycle) {
        this.loop = loop;
        this.cycle = cycle;
    }

    /** Requests a cycle. The cycle runs after the current pause, and never within this call. */
    void requestCycle() {
        if (cyclePending) {
            return;
        }
        cyclePending = true;
        Duration delay = Duration.between(loop.now(), pauseEnd);
        if (pauseEnd.equals(Instant.MIN) || delay.isNegative() || delay.isZero()) {
            loop.execute(this::run);
        } else {
            loop.after(delay, this::run);
        }
    }

    private void run() {
        cyclePending = false;
        cycle.run();
    }

    /** Starts the pause after a cycle that took the given time. */
    void startPause(Duration elapsed) {
        Duration pause = elapsed.multipliedBy(PAUSE_TO_CYCLE_RATIO);
        if (pause.compareTo(MIN_PAUSE) < 0) {
            pause = MIN_PAUSE;
        } else if (pause.compareTo(MAX_PAUSE) > 0) {
            pause = MAX_PAUSE;
        }
        pauseEnd = loop.now().plus(pause);
    }
}
