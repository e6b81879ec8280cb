package org.gullway.coordination.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Detects allocations that stay unused while other partitions need them. After {@link #MAX_UNUSED} without a change of
 * the used amount, the holder must yield the unused part to the other partitions for another {@link #MAX_UNUSED}.
 * Otherwise two holders could deadlock: each would keep an amount that is too small for its next task.
 */
final class UnusedAllocationTracker {
    /** The time for which an allocation may stay unused, and for which the holder then yields the unused part. */
    private static final Duration MAX_UNUSED = Duration.ofSeconds(3);

    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * The observed use of one allocation.
     *
     * @param used the amount in use
     * @param since the time since which the amount in use has not changed, although other partitions needed the rest
     * @param yieldsUntil the time until which the holder yields the unused part to the other partitions
     */
    private record Observation(double used, Instant since, Instant yieldsUntil) {}

    /**
     * Records the current use of an allocation and returns whether its holder must yield the unused part.
     *
     * @param neededElsewhere whether a part of the allocation is currently unused that other partitions need
     */
    boolean mustYield(String partition, TeamResource resource, double used, boolean neededElsewhere, Instant now) {
        String key = partition + '\n' + resource.team().name() + '\n' + resource.resource();
        Observation before = observations.get(key);
        if (before != null && now.isBefore(before.yieldsUntil())) {
            return true;
        }
        Observation next = next(before, used, neededElsewhere, now);
        observations.put(key, next);
        return now.isBefore(next.yieldsUntil());
    }

    private static Observation next(Observation before, double used, boolean neededElsewhere, Instant now) {
        if (!neededElsewhere || before == null || before.used() != used) {
            return new Observation(used, now, Instant.MIN);
        }
        if (before.since().plus(MAX_UNUSED).isAfter(now)) {
            return before;
        }
        return new Observation(used, now, now.plus(MAX_UNUSED));
    }
}
