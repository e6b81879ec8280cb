package org.gullway.coordination.agents;

import java.time.Duration;

/**
 * What follows from the interval between heartbeats.
 *
 * @param interval the stated interval; agents vary each one by up to a quarter
 */
record HeartbeatTiming(Duration interval) {
    /** The longest interval between two heartbeats. */
    Duration longestInterval() {
        return intervals(5).dividedBy(4);
    }

    /** An agent without contact for this time is neither sent commands nor given tasks. */
    Duration contactTimeout() {
        return intervals(2);
    }

    Duration intervals(int count) {
        return interval.multipliedBy(count);
    }
}
