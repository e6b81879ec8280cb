package org.gullway.coordination.cycle;

import java.time.Instant;
import java.util.function.BooleanSupplier;

/**
 * What a planning step may depend on beside the cluster state.
 *
 * @param now the present moment of the monotonic clock
 * @param leader whether this controller is the leader
 * @param spareWriteCapacity whether the store's rate limit has capacity for changes that could wait; asked only by the
 *     steps that need it, since asking refills the rate limiter
 */
public record PlanningContext(Instant now, boolean leader, BooleanSupplier spareWriteCapacity) {
    /** A context in which it is known whether there is capacity for changes that could wait. */
    public static PlanningContext of(Instant now, boolean leader, boolean spareWriteCapacity) {
        return new PlanningContext(now, leader, () -> spareWriteCapacity);
    }

    /** Whether the store's rate limit has capacity for changes that could wait. */
    public boolean hasSpareWriteCapacity() {
        return spareWriteCapacity.getAsBoolean();
    }
}
