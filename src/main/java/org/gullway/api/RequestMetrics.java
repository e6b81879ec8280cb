package org.gullway.api;

import java.time.Duration;

/** Counts the outcomes of requests from users. */
public interface RequestMetrics {
    /**
     * Counts an accepted submission.
     *
     * @param latency time from the arrival of the submission to its acceptance
     */
    void submissionAccepted(Duration latency);

    /** Counts status queries that were answered. */
    void statusQueriesAnswered(int count);

    /** Counts status queries that were rejected temporarily. */
    void statusQueriesRejected(int count);
}
