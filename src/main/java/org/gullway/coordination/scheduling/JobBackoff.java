package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;

/**
 * Pauses before a job's next start after errors, so that a job that fails on every machine does not keep the fleet
 * busy. The number of errors is in the job's record, the pause itself only here.
 */
public final class JobBackoff {
    private static final int FREE_ERRORS = 3;
    private static final Duration LONGEST = Duration.ofSeconds(30);

    private record Pause(int errors, Instant until) {}

    private final Map<String, Pause> pauses = new HashMap<>();

    /** Whether the job must wait before its next start, because several of its attempts ended in errors. */
    public boolean isBackedOff(JobRecord job, Instant now) {
        String id = job.request().id();
        if (job.consecutiveErrors() <= FREE_ERRORS) {
            pauses.remove(id);
            return false;
        }
        Pause pause = pauses.get(id);
        if (pause == null || pause.errors() != job.consecutiveErrors()) {
            Duration length = Duration.ofSeconds(1L << Math.min(5, job.consecutiveErrors() - FREE_ERRORS));
            pause = new Pause(job.consecutiveErrors(), now.plus(length.compareTo(LONGEST) < 0 ? length : LONGEST));
            pauses.put(id, pause);
        }
        return now.isBefore(pause.until());
    }

    /** Drops what is kept for jobs that have ended. */
    public void retainJobsOf(ClusterState clusterState) {
        pauses.keySet().removeIf(id -> clusterState.job(id) == null);
    }
}
