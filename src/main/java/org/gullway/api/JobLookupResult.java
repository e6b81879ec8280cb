package org.gullway.api;

import org.gullway.protocol.JobStatus;

/**
 * What was found out about a job.
 *
 * @param status the job's state; null if there is no such job
 * @param evidence why that may be told
 */
record JobLookupResult(String id, JobStatus status, ReadFreshness freshness) {
    /** What is known of a job that is over. */
    static JobLookupResult ofFinalState(JobStatus status) {
        return new JobLookupResult(status.id(), status, ReadFreshness.ofFinalState());
    }

    boolean isFinal() {
        return status != null && status.state().isFinal();
    }
}
