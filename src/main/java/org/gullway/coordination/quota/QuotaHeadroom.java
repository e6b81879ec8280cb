package org.gullway.coordination.quota;

import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** What may still be placed: within a job's share of its team's limit, and what of the limit no share holds. */
public final class QuotaHeadroom {
    private static final double EPSILON = 1e-6;

    private final ClusterState clusterState;
    private final Map<String, Double> heldByShareAndTeam = new HashMap<>();
    private final Map<String, Double> openByTeam = new HashMap<>();

    public QuotaHeadroom(ClusterState clusterState, TeamQuotas quotas) {
        this.clusterState = clusterState;
        for (Settings.Team team : quotas.teams()) {
            double shares = 0;
            for (QuotaPartition share : clusterState.quotaPartitions().values()) {
                shares += share.of(team.name()).cpus();
            }
            openByTeam.put(team.name(), Math.max(0, team.cpusLimit() - shares));
        }
    }

    /** Takes what it can of so many tasks of the job, and returns how many. */
    public int admit(JobRecord job, int tasks) {
        if (tasks <= 0) {
            return 0;
        }
        JobRequest request = job.request();
        String share = StoreKeys.quotaPartitionOf(job);
        String key = share + '\n' + request.team();
        double held = heldByShareAndTeam.computeIfAbsent(key, k -> heldBy(share, request.team()));
        double open = openByTeam.getOrDefault(request.team(), 0.0);
        int taken = (int) Math.min(tasks, (held + open) / request.cpus() + EPSILON);
        double cpus = taken * request.cpus();
        heldByShareAndTeam.put(key, Math.max(0, held - cpus));
        openByTeam.put(request.team(), open - Math.max(0, cpus - held));
        return taken;
    }

    private double heldBy(String share, String team) {
        double part = clusterState
                .quotaPartitions()
                .getOrDefault(share, QuotaPartition.EMPTY)
                .of(team)
                .cpus();
        return Math.max(0, part - clusterState.quotaUsage(share, team).cpus);
    }
}
