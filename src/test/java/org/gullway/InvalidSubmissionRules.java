package org.gullway;

import java.util.List;
import org.gullway.transport.HttpStatus;

/** Checks that invalid submissions are rejected with the expected status and do not create a job. */
final class InvalidSubmissionRules {
    private final List<String> violations;

    InvalidSubmissionRules(List<String> violations) {
        this.violations = violations;
    }

    /**
     * Handles the response to an invalid submission. Returns whether the response is final; otherwise, the user
     * retries.
     */
    boolean onInvalidSubmission(String id, int expectedStatus, int status) {
        boolean accepted = status == HttpStatus.OK || status == HttpStatus.CREATED;
        boolean rejected = status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE;
        if (accepted) {
            violations.add("accepted: " + id + " gets " + status + " instead of " + expectedStatus);
        } else if (rejected && status != expectedStatus) {
            violations.add("wrong_refusal: " + id + " gets " + status + " instead of " + expectedStatus);
        }
        return accepted || rejected;
    }

    /** Handles the response to a query about a job whose submission was invalid; status 200 is a violation. */
    void onInvalidJobQueried(String id, int status) {
        if (status == HttpStatus.OK) {
            violations.add("invented: query about " + id + " gets " + status);
        }
    }
}
