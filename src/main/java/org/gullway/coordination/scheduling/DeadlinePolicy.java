package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.Settings;

/**
 * Determines when a job is due, from its own deadline or the completion objective of its job class, and whether it can
 * still complete in time.
 */
public final class DeadlinePolicy {
    /** The kind of objective that limits the time from submission to completion, as written in the settings. */
    private static final String COMPLETION_OBJECTIVE = "finished";
    /**
     * Run time estimates are often too high, so a deadline counts as missed only if even this fraction of the estimate
     * no longer fits before it.
     */
    private static final double MIN_FRACTION_OF_ESTIMATE = 0.7;
    /**
     * A late job is deferred, that is placed after the jobs that are on time, only until it is overdue by this much.
     * From then on it is ordered by its due time again, so that it does not starve.
     */
    private static final Duration MAX_DEFERRAL = Duration.ofMinutes(10);
    /**
     * The assumed time limit of a job that has neither a deadline nor an objective. It affects only the order of jobs.
     */
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofMinutes(5);

    private final Map<String, Duration> timeLimitByJobClass = new HashMap<>();

    /** Uses the shortest completion objective of each job class; objectives of other kinds are ignored. */
    public DeadlinePolicy(List<Settings.Objective> objectives) {
        for (Settings.Objective objective : objectives) {
            if (objective.kind().equals(COMPLETION_OBJECTIVE)
                    && objective.jobClass() != null
                    && objective.timeLimit() != null) {
                timeLimitByJobClass.merge(objective.jobClass(), objective.timeLimit(), DeadlinePolicy::shorter);
            }
        }
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Returns the time from submission within which the job should complete, or null if it has neither a deadline nor
     * an objective.
     */
    private Duration timeLimit(JobRecord job) {
        Duration deadline = job.request().deadline();
        Duration objective = timeLimitByJobClass.get(job.request().jobClass());
        if (deadline == null) {
            return objective;
        }
        return objective == null ? deadline : shorter(deadline, objective);
    }

    /**
     * Returns the wall-clock time at which the job is due. For a job that has neither a deadline nor an objective, the
     * default time limit is assumed.
     */
    public Instant dueAt(JobRecord job) {
        Duration timeLimit = timeLimit(job);
        return job.submittedAt().plus(timeLimit == null ? DEFAULT_TIME_LIMIT : timeLimit);
    }

    /**
     * Returns whether the job is placed after the jobs that can still complete in time. This is the case if a task
     * started now would end after the job is due, even if it ran for only {@link #MIN_FRACTION_OF_ESTIMATE} of the
     * estimated time. It is never the case for a job that has neither a deadline nor an objective, or that is overdue
     * by {@link #MAX_DEFERRAL} or more.
     *
     * <p>Without the deferral, an order by due time alone would put late jobs first in an overload, and so make all
     * other jobs late too.
     */
    public boolean isDeferredAsLate(JobRecord job, Instant wallClockTime) {
        if (timeLimit(job) == null) {
            return false;
        }
        Duration minRunTime =
                Duration.ofMillis((long) (job.request().estimatedRunTime().toMillis() * MIN_FRACTION_OF_ESTIMATE));
        Instant due = dueAt(job);
        return wallClockTime.plus(minRunTime).isAfter(due) && wallClockTime.isBefore(due.plus(MAX_DEFERRAL));
    }
}
