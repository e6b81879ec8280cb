package org.gullway.coordination.scaling;

import java.time.Duration;

/**
 * The operators' settings for the size of the fleet.
 *
 * @param spareCapacityFraction processors to keep free for reserved jobs, as a fraction of those that their unfinished
 *     tasks need
 * @param scaleInDelay how long a machine must have been idle, or capacity in excess, before it is drained
 * @param bootTimeoutFactor multiple of its type's boot time after which a machine that has not booted is declared lost
 */
public record ScalingPolicy(double spareCapacityFraction, Duration scaleInDelay, int bootTimeoutFactor) {}
