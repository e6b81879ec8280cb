package org.gullway.coordination.model;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** Ids of jobs that share something final, kept after the jobs' end. The oldest are evicted. */
final class RecentJobIds {
    /** Bounds the memory for jobs that ended long ago. */
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
