package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** Within a limit after the response that confirms a cancellation, none of the job's tasks is on a machine any more. */
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

    /** At the limit; a task that is on no machine then can only come by a start, which is checked at that moment. */
    void checkLimit(String job, PlacementRules placements, Instant now) {
        placements.forEachRunning(
                job, (task, on) -> violations.add("ran_cancelled: " + task + " is on " + on + " at " + now));
    }

    /** A request to cancel was answered with 200 and this state. */
    void onAnswered(String job, String state, Instant now) {
        if (!ObservedJob.isFinal(state)) {
            violations.add("went_back: the cancellation of " + job + " is answered with " + state + " at " + now);
        }
    }

    int startsAfterCancellation() {
        return startsAfterCancellation;
    }
}
