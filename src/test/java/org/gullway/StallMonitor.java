package org.gullway;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/** Measures stalls of an event loop: schedules a tick every 20 ms and records the longest delay of a tick. */
final class StallMonitor {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private Instant lastTick;
    private Duration longestStall = Duration.ZERO;
    private Instant longestStallEnd = Instant.EPOCH;

    StallMonitor(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Measures the delay of this tick and schedules the next tick. The first call starts the monitor and must be made
     * on the event loop.
     */
    void tick() {
        Instant now = loop.now();
        if (lastTick != null) {
            Duration delay = Duration.between(lastTick, now).minus(TICK_INTERVAL);
            if (delay.compareTo(longestStall) > 0) {
                longestStall = delay;
                longestStallEnd = now;
            }
        }
        lastTick = now;
        loop.after(TICK_INTERVAL, this::tick);
    }

    Duration longestStall() {
        return longestStall;
    }

    Instant longestStallEnd() {
        return longestStallEnd;
    }
}
