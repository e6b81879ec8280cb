package org.gullway.coordination.cycle;

import java.time.Instant;
import java.util.function.BooleanSupplier;

/**
 * The input of a planning step besides the cluster state.
 *
 * @param now the current time of the monotonic clock
 * @param leader whether this controller is the leader
 * @param spareWriteCapacity whether the rate limit of the state store has capacity for changes that are not urgent;
 *     evaluated only by steps that need the value, because each evaluation refills the rate limiter, and each refill
 *     drops the elapsed fraction of a millisecond, so frequent evaluations would lower the permitted rate
 */
public record PlanningContext(Instant now, boolean leader, BooleanSupplier spareWriteCapacity) {
    /** Returns a context with a fixed value for the spare write capacity. */
    public static PlanningContext of(Instant now, boolean leader, boolean spareWriteCapacity) {
        return new PlanningContext(now, leader, () -> spareWriteCapacity);
    }

    /** Returns whether the rate limit of the state store has capacity for changes that are not urgent. */
    public boolean hasSpareWriteCapacity() {
        return spareWriteCapacity.getAsBoolean();
    }
}
