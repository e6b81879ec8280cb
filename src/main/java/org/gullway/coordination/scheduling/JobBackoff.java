package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * Exponential back-off for jobs whose attempts fail repeatedly, so that a job that fails on every machine does not
 * occupy the fleet. The number of consecutive errors is part of the job's record; the end of the delay is kept only in
 * the memory of this controller, so after a restart or on another controller the delay starts anew.
 */
public final class JobBackoff {
    private static final int ERRORS_WITHOUT_DELAY = 3;
    /**
     * Bounds the exponent, so that the shift does not overflow. It does not limit the delay: 2^5 s = 32 s exceeds
     * {@link #MAX_DELAY}.
     */
    private static final int MAX_DOUBLINGS = 5;

    private static final Duration MAX_DELAY = Duration.ofSeconds(30);

    private final Map<String, Delay> delayByJob = new HashMap<>();

    private record Delay(int errors, Instant until) {}

    /**
     * Returns whether no task of the job may start now, because several consecutive attempts ended in errors. The delay
     * starts with the first call after the number of errors has changed.
     */
    public boolean isBackedOff(JobRecord job, Instant now) {
        String id = job.request().id();
        if (job.consecutiveErrors() <= ERRORS_WITHOUT_DELAY) {
            delayByJob.remove(id);
            return false;
        }
        Delay delay = delayByJob.get(id);
        if (delay == null || delay.errors() != job.consecutiveErrors()) {
            delay = new Delay(job.consecutiveErrors(), now.plus(delayAfter(job.consecutiveErrors())));
            delayByJob.put(id, delay);
        }
        return now.isBefore(delay.until());
    }

    private static Duration delayAfter(int errors) {
        Duration delay = Duration.ofSeconds(1L << Math.min(MAX_DOUBLINGS, errors - ERRORS_WITHOUT_DELAY));
        return delay.compareTo(MAX_DELAY) < 0 ? delay : MAX_DELAY;
    }

    /** Drops the delays of jobs that are no longer in the cluster state. */
    public void retainJobsOf(ClusterState clusterState) {
        delayByJob.keySet().removeIf(id -> clusterState.job(id) == null);
    }
}
