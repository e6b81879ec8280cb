package org.gullway.api;

import java.time.Duration;

/** Receives what is counted of users' requests. */
public interface RequestMetrics {
    /** A submission was accepted this long after its arrival. */
    void submissionAccepted(Duration latency);

    /** This many status queries were answered. */
    void statusQueriesAnswered(int count);

    /** This many status queries were rejected temporarily. */
    void statusQueriesRejected(int count);
}
