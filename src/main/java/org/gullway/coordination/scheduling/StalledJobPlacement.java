package org.gullway.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/**
 * Places one task of each stalled job before any other task. See {@link JobRecord#isStalledAt} for the jobs that count
 * as stalled. Without this step small tasks of other jobs would take every released resource, and a job with large
 * tasks would starve.
 */
final class StalledJobPlacement {
    private static final TeamRoundRobin.Limits ONE_TASK = TeamRoundRobin.Limits.ofTasksPerJob(1);

    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final TeamRoundRobin teamRoundRobin;

    StalledJobPlacement(ClusterState clusterState, TeamQuotas quotas, TeamRoundRobin teamRoundRobin) {
        this.clusterState = clusterState;
        this.quotas = quotas;
        this.teamRoundRobin = teamRoundRobin;
    }

    /**
     * Places one task of each stalled job on the given machines or on cordoned ones. Further stalled jobs of a team
     * that has become blocked are skipped.
     *
     * @param stalledJobs the stalled jobs in {@link JobRecord#STALLED_ORDER}, which puts jobs without a completed
     *     task first, then large tasks before small ones
     * @return the blocked teams: teams that have enough allocated quota for a task of a stalled job, but too little of
     *     it unused. Tasks of other jobs of such a team, except scavenger jobs, must not start now, because they would
     *     delay the stalled job further.
     */
    Set<String> place(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> stalledJobs) {
        Set<String> blockedTeams = new HashSet<>();
        if (stalledJobs.isEmpty()) {
            return blockedTeams;
        }
        List<MachineRecord> withCordoned = withCordoned(machines);
        for (JobRecord storedJob : stalledJobs) {
            if (blockedTeams.contains(storedJob.request().team())) {
                continue;
            }
            teamRoundRobin.place(transaction, withCordoned, List.of(storedJob), ONE_TASK);
            JobRecord job = transaction.job(storedJob.request().id());
            if (job != null && isBlockedByUsedQuota(job, transaction)) {
                blockedTeams.add(job.request().team());
            }
        }
        return blockedTeams;
    }

    /**
     * Adds the cordoned machines, whichever controller commands their agents: the leader chooses machines for stalled
     * jobs from the whole fleet.
     */
    private List<MachineRecord> withCordoned(Collection<MachineRecord> machines) {
        List<MachineRecord> all = new ArrayList<>(machines);
        for (String name : clusterState.cordonedMachines()) {
            MachineRecord machine = clusterState.machine(name);
            if (machine != null && PlacementConstraints.isAvailable(machine, clusterState)) {
                all.add(machine);
            }
        }
        return all;
    }

    private boolean isBlockedByUsedQuota(JobRecord job, Transaction transaction) {
        if (!job.livePlacements().isEmpty() || quotas.remainingTasks(job, transaction) > 0) {
            return false;
        }
        QuotaPartition.Amount allocated = transaction
                .quotaPartition(StoreKeys.quotaPartitionOf(job))
                .of(job.request().team());
        return allocated.cpus() >= job.request().cpus()
                && allocated.gpus() >= job.request().gpus();
    }
}
