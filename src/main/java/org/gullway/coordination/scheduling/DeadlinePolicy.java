package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.Settings;

/** When a job should be complete, by its own deadline or its job class's objective, and whether it still can be. */
public final class DeadlinePolicy {
    /** The kind of objective that limits the time from submission to completion. */
    private static final String COMPLETION_OBJECTIVE = "finished";
    /** Estimates of run times are often too high: a deadline counts as missed only if this part is too long already. */
    private static final double MIN_FRACTION_OF_ESTIMATE = 0.7;
    /** A job this late is ordered by its due time again, so that it does not wait for ever. */
    private static final Duration MAX_DEFERRAL = Duration.ofMinutes(10);
    /** Orders jobs without a deadline among the others. */
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofMinutes(5);

    private final Map<String, Duration> timeLimitByJobClass = new HashMap<>();

    /** Takes the strictest completion objective of each job class. */
    public DeadlinePolicy(List<Settings.Objective> objectives) {
        for (Settings.Objective objective : objectives) {
            if (objective.kind().equals(COMPLETION_OBJECTIVE)
                    && objective.jobClass() != null
                    && objective.within() != null) {
                timeLimitByJobClass.merge(objective.jobClass(), objective.within(), DeadlinePolicy::shorter);
            }
        }
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /** The time from submission within which the job should be complete; null if nothing limits it. */
    private Duration timeLimit(JobRecord job) {
        Duration deadline = job.request().deadline();
        Duration objective = timeLimitByJobClass.get(job.request().jobClass());
        if (deadline == null) {
            return objective;
        }
        return objective == null ? deadline : shorter(deadline, objective);
    }

    /** Time of day at which the job should be complete; a job without a time limit counts as if it had a long one. */
    public Instant dueAt(JobRecord job) {
        Duration timeLimit = timeLimit(job);
        return job.submittedAt().plus(timeLimit == null ? DEFAULT_TIME_LIMIT : timeLimit);
    }

    /**
     * Whether a task started now would end after the job is due. In an overload such jobs come after those that can
     * still be in time: ordered by due time alone, late jobs would make all others late too.
     */
    public boolean willMissDeadline(JobRecord job, Instant timeOfDay) {
        if (timeLimit(job) == null) {
            return false;
        }
        Duration minRunTime =
                Duration.ofMillis((long) (job.request().estimatedRunTime().toMillis() * MIN_FRACTION_OF_ESTIMATE));
        Instant due = dueAt(job);
        return timeOfDay.plus(minRunTime).isAfter(due) && timeOfDay.isBefore(due.plus(MAX_DEFERRAL));
    }
}
