package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * How much capacity is kept free for reserved jobs: a fraction of what they use, and at least the size of the largest
 * recent one, since the next may be submitted at any moment and has to start all at once.
 */
final class SpareCapacityPolicy {
    private static final Duration BURST_MEMORY = Duration.ofMinutes(1);
    private static final Duration BURST_HALF_LIFE = Duration.ofSeconds(90);

    private final ClusterState clusterState;
    private final double fraction;
    /** Ids of the reserved jobs that are part of the burst size already. */
    private final Set<String> observedJobs = new HashSet<>();

    private double burstCpus;
    /** When the burst size last changed; it decays from then on. */
    private Instant burstAt = Instant.MIN;

    SpareCapacityPolicy(ClusterState clusterState, double fraction) {
        this.clusterState = clusterState;
        this.fraction = fraction;
    }

    /** Processors to be kept free while reserved jobs use {@code reservedCpus}. */
    double requiredCpus(double reservedCpus, Instant now) {
        for (JobRecord job : clusterState.jobs()) {
            if (job.isReserved() && observedJobs.add(job.request().id())) {
                double jobCpus = job.request().tasks() * job.request().cpus();
                burstCpus = Math.max(burstCpus * decay(now), jobCpus);
                burstAt = now;
            }
        }
        observedJobs.removeIf(id -> clusterState.job(id) == null);
        boolean burstExpired = burstAt.plus(BURST_MEMORY).isBefore(now);
        return Math.max(fraction * reservedCpus, burstExpired ? 0 : burstCpus * decay(now));
    }

    private double decay(Instant now) {
        return burstAt.equals(Instant.MIN)
                ? 0
                : Math.pow(0.5, Duration.between(burstAt, now).toMillis() / (double) BURST_HALF_LIFE.toMillis());
    }
}
