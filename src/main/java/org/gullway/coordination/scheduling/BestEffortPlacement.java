package org.gullway.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.quota.GuaranteedQuota;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Priority;

/**
 * Places the tasks of waiting best-effort jobs on free resources, in this order:
 *
 * <ol>
 *   <li>one task of each stalled job
 *   <li>jobs that are not deferred as late and are covered by the guaranteed quota of their team
 *   <li>all jobs that are not deferred as late
 *   <li>jobs that are deferred as late, see {@link DeadlinePolicy#isDeferredAsLate}
 *   <li>jobs of the scavenger class
 * </ol>
 */
final class BestEffortPlacement {
    private final ClusterState clusterState;
    private final TeamQuotas quotas;
    private final DeadlinePolicy deadlines;
    private final ScavengerScheduler scavengerScheduler;
    private final TeamRoundRobin teamRoundRobin;
    private final StalledJobPlacement stalledJobPlacement;

    BestEffortPlacement(SchedulingContext context, ScavengerScheduler scavengerScheduler) {
        this.clusterState = context.clusterState();
        this.quotas = context.quotas();
        this.deadlines = context.deadlines();
        this.scavengerScheduler = scavengerScheduler;
        this.teamRoundRobin = new TeamRoundRobin(quotas, new BestFit(clusterState, context.constraints()));
        this.stalledJobPlacement = new StalledJobPlacement(clusterState, quotas, teamRoundRobin);
    }

    /** Adds placements for the waiting jobs on the given machines to the transaction. */
    void place(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> waitingJobs, Instant now) {
        if (waitingJobs.isEmpty()) {
            return;
        }
        List<JobRecord> jobs = new ArrayList<>(waitingJobs);
        jobs.sort(mostUrgentFirst());
        Set<String> blockedTeams = stalledJobPlacement.place(transaction, machines, stalled(jobs, transaction));
        List<JobRecord> scavengerJobs = new ArrayList<>();
        List<JobRecord> otherJobs = new ArrayList<>();
        for (JobRecord job : jobs) {
            if (ScavengerScheduler.isScavenger(job)) {
                scavengerJobs.add(job);
            } else if (!blockedTeams.contains(job.request().team())) {
                otherJobs.add(job);
            }
        }
        placeByDeadline(transaction, machines, otherJobs);
        placeScavengerJobs(transaction, machines, scavengerJobs, now);
    }

    private Comparator<JobRecord> mostUrgentFirst() {
        return Comparator.<JobRecord, Priority>comparing(job -> job.request().priority())
                .thenComparing(deadlines::dueAt)
                .thenComparing(job -> job.request().id());
    }

    private static List<JobRecord> stalled(List<JobRecord> jobs, Transaction transaction) {
        return jobs.stream()
                .filter(job -> job.isStalledAt(transaction.wallClockTime()))
                .sorted(JobRecord.STALLED_ORDER)
                .toList();
    }

    /**
     * Places jobs in three passes. The later passes include the jobs of the earlier ones, which is harmless: none of
     * their remaining tasks fits any more.
     */
    private void placeByDeadline(Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs) {
        GuaranteedQuota guaranteedQuota = GuaranteedQuota.of(clusterState, quotas);
        List<JobRecord> onTime = new ArrayList<>();
        List<JobRecord> guaranteedOnTime = new ArrayList<>();
        for (JobRecord job : jobs) {
            if (!deadlines.isDeferredAsLate(job, transaction.wallClockTime())) {
                onTime.add(job);
                if (guaranteedQuota.covers(job)) {
                    guaranteedOnTime.add(job);
                }
            }
        }
        teamRoundRobin.place(transaction, machines, guaranteedOnTime, TeamRoundRobin.Limits.NONE);
        teamRoundRobin.place(transaction, machines, onTime, TeamRoundRobin.Limits.NONE);
        teamRoundRobin.place(transaction, machines, jobs, TeamRoundRobin.Limits.NONE);
    }

    private void placeScavengerJobs(
            Transaction transaction, Collection<MachineRecord> machines, List<JobRecord> jobs, Instant now) {
        if (!jobs.isEmpty() && !machines.isEmpty()) {
            double availableCpus = scavengerScheduler.availableCpus(transaction, now);
            teamRoundRobin.place(transaction, machines, jobs, TeamRoundRobin.Limits.ofCpus(availableCpus));
        }
    }
}
