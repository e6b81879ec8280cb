package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.BestFit;
import org.gullway.coordination.placement.InfeasibleRequests;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.GuaranteedQuota;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.Priority;

/**
 * Places reserved jobs by best fit. Reserved jobs are placed by the leader, while best-effort jobs are placed by the
 * controllers that own them. For reserved tasks that fit on no machine, the scheduler preempts best-effort tasks and
 * cordons machines.
 */
public final class ReservedScheduler implements PlanningStep {
    /**
     * In a large fleet, where one run of preemption and cordon planning considers thousands of tasks, a cycle with
     * unplaced jobs (jobs with tasks that fit on no machine) skips the run until this time has elapsed since the last
     * run. Without unplaced jobs the run is never skipped; it then only updates the cordons, but also restarts the
     * interval.
     */
    private static final Duration PREEMPTION_INTERVAL = Duration.ofMillis(500);
    /**
     * The number of jobs that preemption may fail for in one cycle. After that, no preemption is attempted for the
     * remaining jobs; machines are cordoned for them instead.
     */
    private static final int MAX_UNSATISFIED_JOBS = 8;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final BestFit bestFit;
    private final JobBackoff backoff;
    private final DeadlinePolicy deadlines;
    private final CordonPlanner cordonPlanner;
    private final MachineWindow window = new MachineWindow();
    private Instant preemptionPlannedAt = Instant.MIN;

    public ReservedScheduler(SchedulingContext context) {
        this.clusterState = context.clusterState();
        this.constraints = context.constraints();
        this.quotas = context.quotas();
        this.bestFit = new BestFit(clusterState, constraints);
        this.backoff = context.backoff();
        this.deadlines = context.deadlines();
        this.cordonPlanner = new CordonPlanner(clusterState, constraints);
    }

    /**
     * Places the waiting reserved jobs, the most urgent first. Plans preemption and cordons machines for the jobs with
     * tasks that fit on no machine. Only the leader calls this method.
     */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        List<JobRecord> waiting = waitingJobs(now);
        if (waiting.isEmpty()) {
            cordonPlanner.cordon(transaction, Set.of());
            return;
        }
        waiting.sort(mostUrgentFirst());
        List<MachineRecord> machines = new ArrayList<>();
        List<MachineRecord> machinesWithFreeCpus = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (PlacementConstraints.isAvailable(machine, clusterState)) {
                machines.add(machine);
                if (constraints.freeCpus(machine, transaction) > 0) {
                    machinesWithFreeCpus.add(machine);
                }
            }
        }
        List<JobRecord> unplaced = placeAll(waiting, machinesWithFreeCpus, transaction);
        if (!unplaced.isEmpty()
                && machines.size() > MachineWindow.MAX_MACHINES
                && preemptionPlannedAt.plus(PREEMPTION_INTERVAL).isAfter(now)) {
            return;
        }
        preemptionPlannedAt = now;
        preemptAndCordon(unplaced, machines, transaction);
    }

    private List<JobRecord> waitingJobs(Instant now) {
        List<JobRecord> waiting = new ArrayList<>();
        for (JobRecord job : clusterState.jobs()) {
            if (job.isReserved() && job.waitingTasks() > 0 && !backoff.isBackedOff(job, now)) {
                waiting.add(job);
            }
        }
        return waiting;
    }

    /**
     * Orders jobs by priority, then jobs covered by the guaranteed quota of their team before others, then by time of
     * submission.
     */
    private Comparator<JobRecord> mostUrgentFirst() {
        GuaranteedQuota guaranteedQuota = GuaranteedQuota.of(clusterState, quotas);
        return Comparator.<JobRecord, Priority>comparing(job -> job.request().priority())
                .thenComparing(job -> guaranteedQuota.covers(job) ? 0 : 1)
                .thenComparing(JobRecord::submittedAt)
                .thenComparing(job -> job.request().id());
    }

    /** Places the tasks that fit and returns the jobs that still have tasks which fit on no machine. */
    private List<JobRecord> placeAll(List<JobRecord> jobs, List<MachineRecord> machines, Transaction transaction) {
        List<JobRecord> unplaced = new ArrayList<>();
        InfeasibleRequests infeasibleRequests = new InfeasibleRequests();
        for (JobRecord storedJob : jobs) {
            // An earlier step of this cycle may have cancelled the job or recorded completions of its tasks.
            JobRecord job = transaction.job(storedJob.request().id());
            if (job == null) {
                continue;
            }
            boolean infeasible =
                    infeasibleRequests.isKnownInfeasible(job.request()) && quotas.remainingTasks(job, transaction) > 0;
            if (infeasible || !place(job, machines, transaction)) {
                unplaced.add(transaction.job(job.request().id()));
                if (!job.isGang()) {
                    // A gang is unplaced if not all of its tasks fit, so single tasks of the same size may still fit.
                    infeasibleRequests.add(job.request());
                }
            }
        }
        return unplaced;
    }

    /**
     * Places as many tasks of the job as fit; a gang is placed as a whole or not at all.
     *
     * @return false if some of the tasks that the quota and the transaction allow fit on no machine
     */
    private boolean place(JobRecord job, List<MachineRecord> machines, Transaction transaction) {
        if (job.isGang() && !job.livePlacements().isEmpty()) {
            return true;
        }
        int allowedTasks = Math.min(quotas.startableTasks(job, transaction), transaction.placeableTasks(job));
        if (allowedTasks == 0 || (job.isGang() && allowedTasks < job.waitingTasks())) {
            return true;
        }
        List<MachineRecord> reserved = bestFit.reserve(job, allowedTasks, machines, transaction);
        if (job.isGang() && reserved.size() < allowedTasks) {
            reserved.forEach(machine -> transaction.unreserve(job, machine));
            return false;
        }
        if (!reserved.isEmpty()) {
            transaction.place(job, reserved);
            machines.removeIf(machine -> constraints.freeCpus(machine, transaction) <= 0);
        }
        return reserved.size() == allowedTasks;
    }

    /** Preempts best-effort tasks for the given jobs, and cordons machines for the jobs that still do not fit. */
    private void preemptAndCordon(List<JobRecord> unplaced, List<MachineRecord> machines, Transaction transaction) {
        List<MachineRecord> considered =
                machines.size() <= MachineWindow.MAX_MACHINES ? machines : window.next(machines);
        PreemptionPlanner preemption =
                new PreemptionPlanner(clusterState, constraints, deadlines, transaction, considered);
        List<JobRecord> unsatisfied = new ArrayList<>();
        for (JobRecord job : unplaced) {
            if (unsatisfied.size() >= MAX_UNSATISFIED_JOBS || !preemptFor(job, preemption, transaction)) {
                unsatisfied.add(job);
            }
        }
        if (!unplaced.isEmpty() && !cordonPlanner.mayChange(transaction)) {
            return;
        }
        Set<String> cordoned = new LinkedHashSet<>(preemption.targetMachines());
        clusterState.cordonedMachines().stream().filter(this::hasStoppingTasks).forEach(cordoned::add);
        cordoned.addAll(cordonPlanner.machinesFor(unsatisfied, machines, transaction));
        cordonPlanner.cordon(transaction, cordoned);
    }

    /**
     * Preempts best-effort tasks of lower priority for all waiting tasks that the quota and the job's record allow.
     *
     * @return whether resources were found for all of them
     */
    private boolean preemptFor(JobRecord job, PreemptionPlanner preemption, Transaction transaction) {
        int tasks = quotas.startableTasks(job, transaction);
        Priority priority = job.request().priority();
        return preemption.preemptFor(
                job,
                tasks,
                other -> !other.isReserved() && other.request().priority().compareTo(priority) > 0);
    }

    /**
     * Returns whether tasks are still stopping on the machine. Its cordon is kept until they have ended, so that
     * best-effort tasks do not take the released resources.
     */
    private boolean hasStoppingTasks(String machine) {
        return clusterState.placementsOn(machine).values().stream().anyMatch(Placement::stopping);
    }
}
