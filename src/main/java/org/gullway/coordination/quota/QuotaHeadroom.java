package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/**
 * The CPUs that the quotas still allow for waiting tasks. The headroom of a job is the sum of the unused CPUs that its
 * quota partition allocates to its team and the CPUs of the team's quota that no partition allocates. Each admitted
 * task reduces the headroom for later calls. GPU quotas are not considered.
 */
public final class QuotaHeadroom {
    private final ClusterState clusterState;
    private final Map<String, Double> unusedByPartitionAndTeam = new HashMap<>();
    private final Map<String, Double> unallocatedByTeam = new HashMap<>();

    /** Computes the headroom from the partitions and the usage in the cluster state. */
    public QuotaHeadroom(ClusterState clusterState, TeamQuotas quotas) {
        this.clusterState = clusterState;
        for (Settings.Team team : quotas.teams()) {
            double allocated = 0;
            for (QuotaPartition partition : clusterState.quotaPartitions().values()) {
                allocated += partition.of(team.name()).cpus();
            }
            unallocatedByTeam.put(team.name(), Math.max(0, team.cpusLimit() - allocated));
        }
    }

    /**
     * Admits up to {@code tasks} tasks of the job, as far as the headroom allows.
     *
     * @return the number of admitted tasks
     */
    public int admit(JobRecord job, int tasks) {
        if (tasks <= 0) {
            return 0;
        }
        JobRequest request = job.request();
        String partition = StoreKeys.quotaPartitionOf(job);
        String key = partition + '\n' + request.team();
        double unused = unusedByPartitionAndTeam.computeIfAbsent(key, k -> unusedIn(partition, request.team()));
        double unallocated = unallocatedByTeam.getOrDefault(request.team(), 0.0);
        int admitted = (int) Math.min(tasks, (unused + unallocated) / request.cpus() + EPSILON);
        double cpus = admitted * request.cpus();
        unusedByPartitionAndTeam.put(key, Math.max(0, unused - cpus));
        unallocatedByTeam.put(request.team(), unallocated - Math.max(0, cpus - unused));
        return admitted;
    }

    private double unusedIn(String partition, String team) {
        double allocated = clusterState
                .quotaPartitions()
                .getOrDefault(partition, QuotaPartition.EMPTY)
                .of(team)
                .cpus();
        return Math.max(0, allocated - clusterState.quotaUsage(partition, team).cpus);
    }
}
