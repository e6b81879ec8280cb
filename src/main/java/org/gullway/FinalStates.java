package org.gullway;

import java.util.LinkedHashMap;
import java.util.Map;
import org.gullway.protocol.JobStatus;

/** Final states of jobs that ended; they never change, so they may be told from memory. */
final class FinalStates {
    private static final int MOST_REMEMBERED = 10_000;

    private final Map<String, JobStatus> states = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    /** The final state of the job; null if none is remembered. */
    JobStatus of(String id) {
        return states.get(id);
    }

    boolean contains(String id) {
        return states.containsKey(id);
    }

    void remember(JobStatus status) {
        states.put(status.id(), status);
    }
}
