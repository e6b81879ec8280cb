package org.gullway.coordination.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Finds allocations that stay unused while other partitions are short. A holder that could not use its allocation for
 * some time yields it to the others for as long again; otherwise two holders could each keep an amount that is too
 * small for the next task of either, and both would wait for ever.
 */
final class UnusedQuota {
    /** How long an allocation may stay unused, and for how long the holder yields it then. */
    private static final Duration MAX_UNUSED = Duration.ofSeconds(3);

    private final Map<String, Observation> observations = new HashMap<>();

    /**
     * What is known of one allocation.
     *
     * @param used the amount in use, which has not changed since then
     * @param yieldsUntil the moment before which the holder yields the unused part to the others
     */
    private record Observation(double used, Instant since, Instant yieldsUntil) {}

    /**
     * Notes the present use of an allocation and decides whether the holder has to yield the unused part to others.
     *
     * @param wasted whether a part is unused at present that others are short of
     */
    boolean mustYield(String partition, TeamResource resource, double used, boolean wasted, Instant now) {
        String key = partition + '\n' + resource.team().name() + '\n' + resource.resource();
        Observation before = observations.get(key);
        if (before != null && now.isBefore(before.yieldsUntil())) {
            return true;
        }
        Observation next = next(before, used, wasted, now);
        observations.put(key, next);
        return now.isBefore(next.yieldsUntil());
    }

    private static Observation next(Observation before, double used, boolean wasted, Instant now) {
        if (!wasted || before == null || before.used() != used) {
            return new Observation(used, now, Instant.MIN);
        }
        if (before.since().plus(MAX_UNUSED).isAfter(now)) {
            return before;
        }
        return new Observation(used, now, now.plus(MAX_UNUSED));
    }
}
