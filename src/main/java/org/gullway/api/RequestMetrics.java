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

    /** Counts answered status queries, including repeated submissions that were queued as status queries. */
    void statusQueriesAnswered(int count);

    /**
     * Counts temporarily rejected status queries, including repeated submissions that were queued as status queries.
     */
    void statusQueriesRejected(int count);
}
