package org.gullway;

import java.util.List;
import org.gullway.transport.HttpStatus;

/** Invalid submissions are refused with the right status, and leave no job. */
final class InvalidSubmissionRules {
    private final List<String> violations;

    InvalidSubmissionRules(List<String> violations) {
        this.violations = violations;
    }

    /** Such a submission was answered with this status; whether the response is final, so that no retry is due. */
    boolean onAnswered(String id, int expected, int status) {
        boolean accepted = status == HttpStatus.OK || status == HttpStatus.CREATED;
        boolean refused = status == HttpStatus.BAD_REQUEST || status == HttpStatus.UNPROCESSABLE;
        if (accepted) {
            violations.add("accepted: " + id + " gets " + status + " instead of " + expected);
        } else if (refused && status != expected) {
            violations.add("wrong_refusal: " + id + " gets " + status + " instead of " + expected);
        }
        return accepted || refused;
    }

    /** A query about a job that no one submitted was answered with this status. */
    void onUnknownJobQueried(String id, int status) {
        if (status == HttpStatus.OK) {
            violations.add("invented: " + id);
        }
    }
}
