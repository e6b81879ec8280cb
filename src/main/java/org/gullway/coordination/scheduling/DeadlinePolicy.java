package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.Settings;

/** When a job should be complete, by its own deadline or its class's objective, and whether it still can be. */
public final class DeadlinePolicy {
    /** Estimates are often wrong; a job is given up only when even a part of its estimate is too long. */
    private static final double ESTIMATE_SHARE = 0.7;
    /** Nobody waits for ever: a job as late as this has its turn by age again. */
    private static final Duration LONGEST_PASSED_OVER = Duration.ofMinutes(10);

    private static final Duration NO_AIM = Duration.ofMinutes(5);

    private final Map<String, Duration> finishWithin = new HashMap<>();

    public DeadlinePolicy(List<Settings.Objective> objectives) {
        for (Settings.Objective objective : objectives) {
            if (objective.kind().equals("finished") && objective.jobClass() != null && objective.within() != null) {
                finishWithin.merge(objective.jobClass(), objective.within(), (a, b) -> a.compareTo(b) < 0 ? a : b);
            }
        }
    }

    private Duration aim(JobRecord job) {
        Duration deadline = job.request().deadline();
        Duration within = finishWithin.get(job.request().jobClass());
        if (deadline == null) {
            return within;
        }
        return within == null || deadline.compareTo(within) < 0 ? deadline : within;
    }

    /** Time of day at which the job should be complete; jobs without an aim rank as if they had a long one. */
    public Instant dueAt(JobRecord job) {
        Duration aim = aim(job);
        return job.submittedAt().plus(aim == null ? NO_AIM : aim);
    }

    /**
     * Whether a task started now would end after the job is due. In an overload such jobs come after those that can
     * still be in time: by due time alone the late ones would make all others late too (senderos-altos rough).
     */
    public boolean willMissDeadline(JobRecord job, Instant timeOfDay) {
        if (aim(job) == null) {
            return false;
        }
        Duration least =
                Duration.ofMillis((long) (job.request().estimatedRunTime().toMillis() * ESTIMATE_SHARE));
        Instant due = dueAt(job);
        return timeOfDay.plus(least).isAfter(due) && timeOfDay.isBefore(due.plus(LONGEST_PASSED_OVER));
    }
}
