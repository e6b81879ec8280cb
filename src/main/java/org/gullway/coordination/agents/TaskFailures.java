package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The jobs whose tasks have failed on one machine since the last successful task there. */
final class TaskFailures {
    private final Map<String, Instant> lastFailureByJob = new HashMap<>();

    void onFailed(String job, Instant now) {
        lastFailureByJob.put(job, now);
    }

    void onSucceeded() {
        lastFailureByJob.clear();
    }

    boolean isEmpty() {
        return lastFailureByJob.isEmpty();
    }

    /** Returns the jobs whose tasks failed within the window, and drops older failures. */
    Set<String> recentlyFailedJobs(Instant now, Duration window) {
        lastFailureByJob.values().removeIf(at -> at.plus(window).isBefore(now));
        return new HashSet<>(lastFailureByJob.keySet());
    }
}
