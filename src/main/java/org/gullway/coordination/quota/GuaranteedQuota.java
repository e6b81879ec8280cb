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

/** The jobs that fit into their team's guarantee together with the team's earlier jobs that are not finished. */
public final class GuaranteedQuota {
    private final Set<String> within;

    private GuaranteedQuota(Set<String> within) {
        this.within = within;
    }

    /**
     * Determines which jobs are within the guarantees of their teams, counting jobs in the order of their submission.
     */
    public static GuaranteedQuota of(ClusterState clusterState, TeamQuotas quotas) {
        List<JobRecord> jobs = new ArrayList<>(clusterState.jobs());
        jobs.sort(Comparator.comparing(JobRecord::submittedAt)
                .thenComparing(job -> job.request().id()));
        Map<String, Double> cpus = new HashMap<>();
        Map<String, Double> cards = new HashMap<>();
        Set<String> within = new HashSet<>();
        for (JobRecord job : jobs) {
            Settings.Team team = quotas.team(job.request().team());
            if (team != null && !job.isCancelled()) {
                double usedCpus = cpus.merge(
                        team.name(), job.unfinishedTasks() * job.request().cpus(), Double::sum);
                double usedCards = cards.merge(
                        team.name(), job.unfinishedTasks() * job.request().gpus(), Double::sum);
                if (usedCpus <= team.cpus() && usedCards <= team.gpus()) {
                    within.add(job.request().id());
                }
            }
        }
        return new GuaranteedQuota(within);
    }

    public boolean covers(JobRecord job) {
        return within.contains(job.request().id());
    }
}
