package org.gullway.coordination.agents;

import java.time.Duration;

/**
 * Durations that are derived from the heartbeat interval.
 *
 * @param interval the configured interval; agents vary each one by up to a quarter
 */
record HeartbeatTiming(Duration interval) {
    /** Returns the longest interval between two heartbeats. */
    Duration longestInterval() {
        return intervals(5).dividedBy(4);
    }

    /** Returns how long an agent may be without contact before it gets neither commands nor tasks. */
    Duration contactTimeout() {
        return intervals(2);
    }

    Duration intervals(int count) {
        return interval.multipliedBy(count);
    }
}
