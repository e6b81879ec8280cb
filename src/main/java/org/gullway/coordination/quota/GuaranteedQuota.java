package org.gullway.coordination.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.protocol.Settings;

/** The jobs that fit into their team's guaranteed quota together with the team's earlier unfinished jobs. */
public final class GuaranteedQuota {
    private final Set<String> coveredJobs;

    private GuaranteedQuota(Set<String> coveredJobs) {
        this.coveredJobs = coveredJobs;
    }

    /** Determines which jobs the guarantees of their teams cover, counting jobs in the order of their submission. */
    public static GuaranteedQuota of(ClusterState clusterState, TeamQuotas quotas) {
        List<JobRecord> jobs = new ArrayList<>(clusterState.jobs());
        jobs.sort(Comparator.comparing(JobRecord::submittedAt)
                .thenComparing(job -> job.request().id()));
        Map<String, Double> cpusByTeam = new HashMap<>();
        Map<String, Double> gpusByTeam = new HashMap<>();
        Set<String> coveredJobs = new HashSet<>();
        for (JobRecord job : jobs) {
            Settings.Team team = quotas.team(job.request().team());
            if (team != null && !job.isCancelled()) {
                double cpus = cpusByTeam.merge(
                        team.name(), job.unfinishedTasks() * job.request().cpus(), Double::sum);
                double gpus = gpusByTeam.merge(
                        team.name(), job.unfinishedTasks() * job.request().gpus(), Double::sum);
                if (cpus <= team.cpus() && gpus <= team.gpus()) {
                    coveredJobs.add(job.request().id());
                }
            }
        }
        return new GuaranteedQuota(coveredJobs);
    }

    /** Whether the guarantee of the job's team covers all of the job. */
    public boolean covers(JobRecord job) {
        return coveredJobs.contains(job.request().id());
    }
}
