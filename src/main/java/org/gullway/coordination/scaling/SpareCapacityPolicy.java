package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * How much room is kept free for urgent work: a share of what it uses, and at least that of a large job of late, which
 * may come again at any moment, all at once.
 */
final class SpareCapacityPolicy {
    private static final Duration BURST_MEMORY = Duration.ofMinutes(1);
    private static final Duration BURST_HALF_LIFE = Duration.ofSeconds(90);

    private final ClusterState clusterState;
    private final double share;
    /** Urgent jobs that were counted for the size of a burst already. */
    private final Set<String> counted = new HashSet<>();
    /** Processors of the largest urgent job of late, as of when it came. */
    private double burst;

    private Instant burstAt = Instant.MIN;

    SpareCapacityPolicy(ClusterState clusterState, double share) {
        this.clusterState = clusterState;
        this.share = share;
    }

    /** Processors to be kept free, while urgent work uses so many. */
    double requiredCpus(double urgentUse, Instant now) {
        for (JobRecord job : clusterState.jobs()) {
            if (job.isReserved() && counted.add(job.request().id())) {
                double size = job.request().tasks() * job.request().cpus();
                burst = Math.max(burst * fading(now), size);
                burstAt = now;
            }
        }
        counted.removeIf(id -> clusterState.job(id) == null);
        boolean quiet = burstAt.plus(BURST_MEMORY).isBefore(now);
        return Math.max(share * urgentUse, quiet ? 0 : burst * fading(now));
    }

    private double fading(Instant now) {
        return burstAt.equals(Instant.MIN)
                ? 0
                : Math.pow(0.5, Duration.between(burstAt, now).toMillis() / (double) BURST_HALF_LIFE.toMillis());
    }
}
