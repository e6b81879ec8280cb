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
 * Places one task of each stalled job before anything else, the largest first: otherwise small tasks of other jobs
 * would use every released resource before a job of large tasks could start.
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
     * Places one task of each of these jobs, on these machines or the cordoned ones.
     *
     * @return the teams of which other jobs must not start: their quota partition is large enough for a stalled job,
     *     but too much of it is used, and small tasks would keep it so
     */
    Set<String> place(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> stalledJobs) {
        Set<String> blockedTeams = new HashSet<>();
        if (stalledJobs.isEmpty()) {
            return blockedTeams;
        }
        List<MachineRecord> withCordoned = withCordoned(machines);
        for (JobRecord known : stalledJobs) {
            if (blockedTeams.contains(known.request().team())) {
                continue;
            }
            teamRoundRobin.place(transaction, withCordoned, List.of(known), ONE_TASK);
            JobRecord job = transaction.job(known.request().id());
            if (job != null && waitsForUsedQuota(job, transaction)) {
                blockedTeams.add(job.request().team());
            }
        }
        return blockedTeams;
    }

    /** The leader cordons machines for stalled jobs regardless of which controller commands the machine. */
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

    private boolean waitsForUsedQuota(JobRecord job, Transaction transaction) {
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
