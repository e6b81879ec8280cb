package org.gullway.api;

import java.time.Duration;

/** Receives what is counted of users' requests. */
public interface RequestMetrics {
    /** A submission was accepted this long after its arrival. */
    void submissionAccepted(Duration latency);

    /** This many status queries were answered, or else rejected temporarily. */
    void statusQueries(boolean answered, int count);
}
