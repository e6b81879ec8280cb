package org.gullway.api;

import java.time.Duration;

/** What is counted of users' requests. */
public interface RequestMetrics {
    /** A submission was accepted so long after it had come. */
    void submissionAccepted(Duration time);

    /** So many questions were answered, or refused for now. */
    void statusQueries(boolean answered, int count);
}
