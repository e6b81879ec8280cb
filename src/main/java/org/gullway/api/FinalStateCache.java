package org.gullway.api;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.JobStatus;

/**
 * Finds final states of jobs in memory: an LRU cache holds those of ended jobs, and the cluster state holds those of
 * cancelled jobs that have not ended yet. Final states never change, so a response can contain one without a read of
 * the state store. The task counts of a cancelled job that has not ended yet may be outdated.
 */
final class FinalStateCache {
    private static final int MAX_ENTRIES = 10_000;

    private final ClusterState clusterState;
    private final Map<String, JobStatus> ended = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    FinalStateCache(ClusterState clusterState) {
        this.clusterState = clusterState;
    }

    /** Returns the final state of the job, or empty if no final state is known in memory. */
    Optional<JobStatus> find(String id) {
        JobStatus status = ended.get(id);
        if (status != null) {
            return Optional.of(status);
        }
        JobRecord job = clusterState.job(id);
        return job != null && job.isCancelled() ? Optional.of(job.status()) : Optional.empty();
    }

    void put(JobStatus status) {
        ended.put(status.id(), status);
    }
}
