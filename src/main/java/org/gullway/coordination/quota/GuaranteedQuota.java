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

/**
 * The set of jobs that are covered by the guaranteed quota of their team. The unfinished tasks of a team's jobs are
 * summed in order of submission, and a job is covered if the sum up to and including this job is within the guaranteed
 * quota.
 */
public final class GuaranteedQuota {
    private final Set<String> coveredJobs;

    private GuaranteedQuota(Set<String> coveredJobs) {
        this.coveredJobs = coveredJobs;
    }

    /**
     * Determines the covered jobs from the current cluster state. Cancelled jobs and jobs of unknown teams are skipped.
     */
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

    /** Returns whether the guaranteed quota of the job's team covers all unfinished tasks of the job. */
    public boolean covers(JobRecord job) {
        return coveredJobs.contains(job.request().id());
    }
}
