package org.gullway;

import java.time.Instant;
import java.util.List;

/** Checks the job states in responses to users: a final state must be correct, and must not change afterwards. */
final class ReportedStateRules {
    private final List<String> violations;

    ReportedStateRules(List<String> violations) {
        this.violations = violations;
    }

    /**
     * Handles a state in a response to the user. Returns whether it is the first response that confirms a cancellation.
     */
    boolean onStateReported(ObservedJob job, String state, Instant sentAt, Instant now) {
        boolean isFinal = ObservedJob.isFinal(state);
        checkFinalStateUnchanged(job, state, isFinal, sentAt, now);
        if (state.equals("aborted") && !job.isCancellationRequested()) {
            violations.add("went_back: " + job.id() + " is cancelled without a request at " + now);
        }
        if (state.equals("done")) {
            checkAllTasksCompleted(job, now);
        }
        if (job.isFinished() || !isFinal) {
            return false;
        }
        job.onFinished(state, now);
        return job.isCancelled();
    }

    /**
     * Checks that the state does not contradict the final state that was reported before. An active state is allowed in
     * the response to a request that was sent before the final state was reported; a different final state never is.
     */
    private void checkFinalStateUnchanged(ObservedJob job, String state, boolean isFinal, Instant sentAt, Instant now) {
        if (job.isFinished()
                && !state.equals(job.reportedFinalState())
                && (isFinal || sentAt.isAfter(job.finishedAt()))) {
            violations.add(
                    "went_back: " + job.id() + " was " + job.reportedFinalState() + ", then " + state + " at " + now);
        }
    }

    private void checkAllTasksCompleted(ObservedJob job, Instant now) {
        for (int task = 0; task < job.request.tasks(); task++) {
            if (!job.isCompleted(task)) {
                violations.add("not_done: " + job.id() + "/" + task + " at " + now);
            }
        }
    }
}
