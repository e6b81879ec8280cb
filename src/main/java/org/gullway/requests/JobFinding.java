package org.gullway.requests;

import org.gullway.protocol.JobStatus;

/**
 * What was found out about a job.
 *
 * @param status the job's state; null if there is no such job
 * @param evidence why that may be told
 */
record JobFinding(String id, JobStatus status, Evidence evidence) {
    /** What is known of a job that is over. */
    static JobFinding ofFinalState(JobStatus status) {
        return new JobFinding(status.id(), status, Evidence.ofFinalState());
    }

    boolean isFinal() {
        return status != null && status.state().isFinal();
    }
}
