package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/**
 * Restricts jobs of the scavenger class ({@link Priority#IDLE}) to leftover resources: limits the CPUs that their tasks
 * may use, and preempts their tasks for best-effort jobs of higher priority. Scavenger tasks start only while no
 * best-effort job of higher priority that was submitted more than {@link #MIN_WAIT} ago has waiting tasks, not counting
 * jobs that are backed off or whose quota partition or record allows no further task. They also leave a reserve of free
 * CPUs for reserved jobs. The exception is a stalled scavenger job, which gets one task like any other stalled job.
 * {@link BestEffortPlacement} places the tasks.
 */
public final class ScavengerScheduler implements PlanningStep {
    private static final Duration PREEMPTION_INTERVAL = Duration.ofSeconds(1);
    /**
     * The time since submission after which a best-effort job of higher priority that still has waiting tasks holds
     * back scavenger tasks, and after which scavenger tasks are preempted for it. Most jobs are placed earlier without
     * preemption.
     */
    private static final Duration MIN_WAIT = Duration.ofSeconds(2);

    /** The maximum number of waiting jobs, oldest first, for which one run preempts scavenger tasks. */
    private static final int MAX_JOBS_PER_RUN = 8;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final JobBackoff backoff;
    private final DeadlinePolicy deadlines;
    private final double reserveFraction;
    private final MachineWindow window = new MachineWindow();
    private Instant preemptionPlannedAt = Instant.MIN;

    /** @param reserveFraction the CPUs to keep free for reserved jobs, as a fraction of the CPUs that these jobs use */
    public ScavengerScheduler(SchedulingContext context, double reserveFraction) {
        this.clusterState = context.clusterState();
        this.constraints = context.constraints();
        this.quotas = context.quotas();
        this.backoff = context.backoff();
        this.deadlines = context.deadlines();
        this.reserveFraction = reserveFraction;
    }

    static boolean isScavenger(JobRecord job) {
        return job.request().priority() == Priority.IDLE;
    }

    /**
     * Returns the number of free CPUs that scavenger tasks may use now. The result is 0 while a best-effort job of
     * higher priority that was submitted more than {@link #MIN_WAIT} ago has waiting tasks, although it is not backed
     * off, and its quota partition and its record allow another task.
     */
    double availableCpus(Transaction transaction, Instant now) {
        if (!waitingJobsOfHigherPriority(transaction, now).isEmpty()) {
            return 0;
        }
        double usedByReserved = 0;
        for (Settings.Team team : quotas.teams()) {
            usedByReserved += clusterState.quotaUsage(StoreKeys.LEADER_QUOTA, team.name()).cpus;
        }
        double free = 0;
        for (MachineRecord machine : clusterState.machines()) {
            free += machine.isSchedulable() ? constraints.freeCpus(machine, transaction) : 0;
        }
        return Math.max(0, free - reserveFraction * usedByReserved);
    }

    /**
     * Preempts scavenger tasks for the waiting tasks of best-effort jobs of higher priority, at most once per {@link
     * #PREEMPTION_INTERVAL}. Each run considers the {@link #MAX_JOBS_PER_RUN} oldest of these jobs and the next {@link
     * MachineWindow} of the machines. Only the leader calls this method.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        if (preemptionPlannedAt.plus(PREEMPTION_INTERVAL).isAfter(now) || !runsScavengerTasks()) {
            return;
        }
        preemptionPlannedAt = now;
        List<JobRecord> waiting = waitingJobsOfHigherPriority(transaction, now);
        if (waiting.isEmpty()) {
            return;
        }
        PreemptionPlanner preemption = new PreemptionPlanner(
                clusterState, constraints, deadlines, transaction, window.next(availableUncordonedMachines()));
        for (JobRecord job : waiting.subList(0, Math.min(MAX_JOBS_PER_RUN, waiting.size()))) {
            preemption.preemptFor(job, quotas.startableTasks(job, transaction), ScavengerScheduler::isScavenger);
        }
    }

    private boolean runsScavengerTasks() {
        for (JobRecord job : clusterState.jobs()) {
            if (isScavenger(job) && !job.livePlacements().isEmpty()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the best-effort jobs outside the scavenger class that were submitted more than {@link #MIN_WAIT} ago and
     * still have waiting tasks, although they are not backed off, and their quota partition and their record allow
     * another task. The oldest job comes first.
     */
    private List<JobRecord> waitingJobsOfHigherPriority(Transaction transaction, Instant now) {
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord storedJob : clusterState.jobs()) {
            JobRecord job = transaction.job(storedJob.request().id());
            if (job != null
                    && !job.isReserved()
                    && !isScavenger(job)
                    && !backoff.isBackedOff(job, now)
                    && job.submittedAt().plus(MIN_WAIT).isBefore(transaction.wallClockTime())
                    && quotas.startableTasks(job, transaction) > 0) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.comparing(JobRecord::submittedAt)
                .thenComparing(job -> job.request().id()));
        return waiting;
    }

    private List<MachineRecord> availableUncordonedMachines() {
        List<MachineRecord> machines = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (PlacementConstraints.isAvailable(machine, clusterState)
                    && !clusterState.cordonedMachines().contains(machine.name())) {
                machines.add(machine);
            }
        }
        return machines;
    }
}
