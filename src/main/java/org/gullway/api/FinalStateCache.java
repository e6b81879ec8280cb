package org.gullway.api;

import java.util.LinkedHashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.JobStatus;

/**
 * Final states of jobs, as far as they are known here: of those that ended, and of those that the view shows as
 * cancelled. They never change, so they may be told from memory.
 */
final class FinalStateCache {
    private static final int MOST_REMEMBERED = 10_000;

    private final ClusterState clusterState;
    private final Map<String, JobStatus> states = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    FinalStateCache(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** The final state of the job; null if none is known. */
    JobStatus of(String id) {
        JobStatus end = states.get(id);
        if (end != null) {
            return end;
        }
        JobRecord job = clusterState.job(id);
        return job != null && job.isCancelled() ? job.status() : null;
    }

    boolean contains(String id) {
        return of(id) != null;
    }

    void remember(JobStatus status) {
        states.put(status.id(), status);
    }
}
