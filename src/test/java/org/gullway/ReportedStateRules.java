package org.gullway;

import java.time.Instant;
import java.util.List;

/** Job states in responses to users: a final state is true, and never changes. */
final class ReportedStateRules {
    private final List<String> violations;

    ReportedStateRules(List<String> violations) {
        this.violations = violations;
    }

    /** A user got this state; returns whether it is the first response that confirms the cancellation. */
    boolean onStateReported(ObservedJob job, String state, Instant asked, Instant now) {
        boolean isFinal = ObservedJob.isFinal(state);
        checkUnchanged(job, state, isFinal, asked, now);
        if (state.equals("aborted") && !job.isCancellationRequested()) {
            violations.add("went_back: " + job.id() + " is cancelled by nobody at " + now);
        }
        if (state.equals("done")) {
            checkCompleted(job, now);
        }
        if (job.isFinished() || !isFinal) {
            return false;
        }
        job.onFinished(state, now);
        return job.isCancelled();
    }

    /** A query may have been answered before the final state was reported, but two final states are never both true. */
    private void checkUnchanged(ObservedJob job, String state, boolean isFinal, Instant asked, Instant now) {
        if (job.isFinished() && !state.equals(job.reportedState()) && (isFinal || asked.isAfter(job.finishedAt()))) {
            violations.add("went_back: " + job.id() + " was " + job.reportedState() + ", then " + state + " at " + now);
        }
    }

    private void checkCompleted(ObservedJob job, Instant now) {
        for (int task = 0; task < job.request.tasks(); task++) {
            if (!job.isCompleted(task)) {
                violations.add("not_done: " + job.id() + "/" + task + " at " + now);
            }
        }
    }
}
