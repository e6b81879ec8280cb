package org.gullway.coordination.scaling;

import java.time.Duration;

/**
 * The operators' settings for the size of the fleet.
 *
 * @param spareCapacityFraction processors to keep free for reserved jobs, as a fraction of those that such jobs use
 * @param scaleInDelay how long a machine must have been idle, or capacity in excess, before it is drained
 * @param bootTimeoutFactor how many times its type's boot time a machine may take before it is declared lost
 */
public record ScalingPolicy(double spareCapacityFraction, Duration scaleInDelay, int bootTimeoutFactor) {}
