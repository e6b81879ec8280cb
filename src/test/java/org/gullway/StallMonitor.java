package org.gullway;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;

/** Watches an event loop by a regular tick, and keeps the longest time by which a tick was late. */
final class StallMonitor {
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private final EventLoop loop;
    private Instant lastTick;
    private Duration longestStall = Duration.ZERO;
    private Instant longestStallEnd = Instant.EPOCH;

    StallMonitor(EventLoop loop) {
        this.loop = loop;
    }

    /** Ticks from now on; to be called on the loop. */
    void tick() {
        Instant now = loop.now();
        if (lastTick != null) {
            Duration late = Duration.between(lastTick, now).minus(TICK_INTERVAL);
            if (late.compareTo(longestStall) > 0) {
                longestStall = late;
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
