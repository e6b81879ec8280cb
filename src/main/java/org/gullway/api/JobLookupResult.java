package org.gullway.api;

import org.gullway.protocol.JobStatus;

/** What is known of a job, with the freshness that allows a response with it. */
sealed interface JobLookupResult {
    String id();

    ReadFreshness freshness();

    /** Whether this never changes again. */
    boolean isFinal();

    /** The job was accepted and has this status. */
    record Found(JobStatus status, ReadFreshness freshness) implements JobLookupResult {
        static Found ofFinalState(JobStatus status) {
            return new Found(status, ReadFreshness.ofFinalState());
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

    /** There is no such job; it may still be submitted. */
    record NotFound(String id, ReadFreshness freshness) implements JobLookupResult {
        @Override
        public boolean isFinal() {
            return false;
        }
    }
}
