package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Checks that no task of a cancelled job runs once a limit has passed since the response that confirmed the
 * cancellation.
 */
final class CancellationRules {
    private final List<String> violations;
    private final Duration limit;
    private int startsAfterCancellation;

    CancellationRules(List<String> violations, Duration limit) {
        this.violations = violations;
        this.limit = limit;
    }

    Duration limit() {
        return limit;
    }

    void onTaskStarted(ObservedJob job, String machine, String task, Instant now) {
        if (job.isCancelled()) {
            startsAfterCancellation++;
            if (now.isAfter(job.finishedAt().plus(limit))) {
                violations.add("ran_cancelled: " + task + " starts on " + machine + " at " + now);
            }
        }
    }

    /**
     * Checks the tasks that run when the limit has passed. Tasks that start later are checked by
     * {@link #onTaskStarted}.
     */
    void checkRunningTasksAtLimit(String job, PlacementRules placements, Instant now) {
        placements.forEachRunning(
                job,
                (task, machines) -> violations.add("ran_cancelled: " + task + " is on " + machines + " at " + now));
    }

    /** Handles a response to a cancellation with status 200, which must contain a final state. */
    void onCancellationAnswered(String job, String state, Instant now) {
        if (!ObservedJob.isFinal(state)) {
            violations.add("went_back: the cancellation of " + job + " is answered with " + state + " at " + now);
        }
    }

    int startsAfterCancellation() {
        return startsAfterCancellation;
    }
}
