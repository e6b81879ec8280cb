package org.gullway.requests;

import java.time.Duration;

/** What is counted of users' requests. */
public interface RequestMetrics {
    /** A submission was accepted so long after it had come. */
    void accepted(Duration time);

    /** So many questions were answered, or refused for now. */
    void questions(boolean answered, int count);
}
