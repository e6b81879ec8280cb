package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * For each job, the responses to its user and the starts and ends of its tasks, in the order in which they occurred.
 */
final class JobHistory {
    private final boolean recording;
    private final Map<String, List<String>> events = new HashMap<>();

    private JobHistory(boolean recording) {
        this.recording = recording;
    }

    static JobHistory recording() {
        return new JobHistory(true);
    }

    /** A history that records nothing. */
    static JobHistory none() {
        return new JobHistory(false);
    }

    void add(String job, Instant at, Supplier<String> event) {
        if (recording) {
            events.computeIfAbsent(job, j -> new ArrayList<>()).add(formatSeconds(at) + " " + event.get());
        }
    }

    List<String> of(String job) {
        return events.getOrDefault(job, List.of());
    }

    static String formatSeconds(Instant at) {
        return String.format("%8.3f", Duration.between(Instant.EPOCH, at).toMillis() / 1000.0);
    }
}
