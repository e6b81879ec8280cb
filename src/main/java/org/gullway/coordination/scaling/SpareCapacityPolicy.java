package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.protocol.JobRequest;

/**
 * Decides how much capacity is kept free for reserved jobs: a fraction of what their unfinished tasks need, and at
 * least the size of the largest recent one. The next reserved job may be submitted at any moment, and its tasks have to
 * start without waiting for machines to boot.
 *
 * <p>The size of the largest recent job is called the burst size. It decays by half per {@link #BURST_HALF_LIFE}, so
 * that it shrinks while smaller reserved jobs keep arriving. Once {@link #BURST_RETENTION} has passed without a new
 * reserved job, it counts as zero. The decay continues meanwhile: the next reserved job, however small, makes the
 * remaining burst size count again.
 */
final class SpareCapacityPolicy {
    private static final Duration BURST_RETENTION = Duration.ofMinutes(1);
    private static final Duration BURST_HALF_LIFE = Duration.ofSeconds(90);

    private final ClusterState clusterState;
    private final RecordCapacity recordCapacity;
    private final double fraction;
    /** Ids of the reserved jobs that the burst size already includes. */
    private final Set<String> observedJobs = new HashSet<>();

    /** The burst size: processors of the largest recent reserved job, as of {@link #burstAt}. */
    private double burstCpus;
    /** When the last new reserved job was seen; the burst size decays from then on. */
    private Instant burstAt = Instant.MIN;

    SpareCapacityPolicy(ClusterState clusterState, RecordCapacity recordCapacity, double fraction) {
        this.clusterState = clusterState;
        this.recordCapacity = recordCapacity;
        this.fraction = fraction;
    }

    /** Number of processors to keep free while the unfinished tasks of reserved jobs need {@code reservedCpus}. */
    double requiredCpus(double reservedCpus, Instant now) {
        for (JobRecord job : clusterState.jobs()) {
            if (job.isReserved() && observedJobs.add(job.request().id())) {
                JobRequest request = job.request();
                double jobCpus = recordCapacity.maxSimultaneousTasks(request) * request.cpus();
                burstCpus = Math.max(burstCpus * decay(now), jobCpus);
                burstAt = now;
            }
        }
        observedJobs.removeIf(id -> clusterState.job(id) == null);
        boolean burstExpired = burstAt.plus(BURST_RETENTION).isBefore(now);
        return Math.max(fraction * reservedCpus, burstExpired ? 0 : burstCpus * decay(now));
    }

    private double decay(Instant now) {
        return burstAt.equals(Instant.MIN)
                ? 0
                : Math.pow(0.5, Duration.between(burstAt, now).toMillis() / (double) BURST_HALF_LIFE.toMillis());
    }
}
