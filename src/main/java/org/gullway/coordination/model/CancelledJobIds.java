package org.gullway.coordination.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Ids of cancelled jobs, kept after the jobs' end, since cancellation is final. The oldest are evicted. */
final class CancelledJobIds {
    /** Bounds the memory for cancelled jobs that ended long ago. */
    private static final int MAX_JOBS = 10_000;

    private final Set<String> ids = Collections.newSetFromMap(new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_JOBS;
        }
    });

    void add(String id) {
        ids.add(id);
    }

    boolean contains(String id) {
        return ids.contains(id);
    }
}
