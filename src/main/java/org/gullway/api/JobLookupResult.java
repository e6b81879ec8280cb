package org.gullway.api;

import org.gullway.protocol.JobStatus;

/** The result of a lookup: the job's status or its absence, and how fresh this information is. */
sealed interface JobLookupResult {
    String id();

    StateFreshness freshness();

    /**
     * Returns whether the job's state is final and so never changes again. The task counts of a cancelled job can still
     * change until it has ended.
     */
    boolean isFinal();

    /** The job was accepted and has this status. */
    record Found(JobStatus status, StateFreshness freshness) implements JobLookupResult {
        static Found ofFinalState(JobStatus status) {
            return new Found(status, StateFreshness.ofFinalState());
        }

        @Override
        public String id() {
            return status.id();
        }

        @Override
        public boolean isFinal() {
            return status.state().isFinal();
        }
    }

    /** There is no job with this id. A later submission may create it, so this result is never final. */
    record NotFound(String id, StateFreshness freshness) implements JobLookupResult {
        @Override
        public boolean isFinal() {
            return false;
        }
    }
}
