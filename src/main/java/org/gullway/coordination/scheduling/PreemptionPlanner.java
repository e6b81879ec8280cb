package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.FreeResources;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.MachineType;

/**
 * Plans the preemption of tasks on a set of machines, so that waiting tasks fit there. Resources of tasks that are
 * already stopping count as free, so that repeated planning does not preempt again for the same waiting task.
 */
final class PreemptionPlanner {
    /** The weight of the work of a job that is deferred as late, compared with 1 for the work of other jobs. */
    private static final double LATE_JOB_WEIGHT = 0.3;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final DeadlinePolicy deadlines;
    private final Transaction transaction;
    private final List<MachineRecord> machines;
    /** The free resources and those being released on each machine, minus the resources set aside for waiting tasks. */
    private final Map<String, FreeResources> freeByMachine = new HashMap<>();

    private final Map<String, List<Victim>> victimsByMachine = new HashMap<>();
    private final Set<String> targetMachines = new LinkedHashSet<>();

    /** A task that could be preempted, and the weighted work in CPU seconds that would be lost. */
    private record Victim(JobRecord job, Placement placement, double loss) {}

    /** A machine on which one more task fits once the victims are stopped; the list of victims may be empty. */
    private record PreemptionOption(MachineRecord machine, List<Victim> victims, double loss) {
        static PreemptionOption of(MachineRecord machine, List<Victim> victims) {
            return new PreemptionOption(
                    machine, victims, victims.stream().mapToDouble(Victim::loss).sum());
        }

        /** Returns the jobs of the victims, each once. */
        Collection<JobRecord> victimJobs() {
            Map<String, JobRecord> jobs = new HashMap<>();
            victims.forEach(victim -> jobs.put(victim.job().request().id(), victim.job()));
            return jobs.values();
        }
    }

    PreemptionPlanner(
            ClusterState clusterState,
            PlacementConstraints constraints,
            DeadlinePolicy deadlines,
            Transaction transaction,
            List<MachineRecord> machines) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.deadlines = deadlines;
        this.transaction = transaction;
        this.machines = machines;
        for (MachineRecord machine : machines) {
            MachineType type = constraints.typeOf(machine);
            if (type != null) {
                freeByMachine.put(machine.name(), freeOrBeingReleased(machine, type));
            }
        }
    }

    private FreeResources freeOrBeingReleased(MachineRecord machine, MachineType type) {
        FreeResources free = FreeResources.of(type, transaction.usageOn(machine.name()));
        clusterState.placementsOn(machine.name()).forEach((id, placement) -> {
            JobRecord job = clusterState.job(id.task().job());
            if (placement.stopping() || job.isCancelled()) {
                free.release(job.request());
            }
        });
        return free;
    }

    /** Returns the machines on which resources are set aside for waiting tasks. */
    Set<String> targetMachines() {
        return targetMachines;
    }

    /**
     * Sets resources aside for waiting tasks of the job. Free resources and those being released are used first, then
     * tasks are preempted where the least work is lost.
     *
     * @param tasks the number of tasks that need resources
     * @param preemptible selects the jobs whose tasks may be preempted
     * @return false if the resources or the capacity of the transaction did not suffice for all of the tasks
     */
    boolean preemptFor(JobRecord job, int tasks, Predicate<JobRecord> preemptible) {
        if (tasks == 0) {
            return true;
        }
        PriorityQueue<PreemptionOption> options =
                new PriorityQueue<>(Comparator.comparingDouble(PreemptionOption::loss));
        for (MachineRecord machine : machines) {
            if (freeByMachine.containsKey(machine.name()) && constraints.isAllowed(job, machine, clusterState)) {
                addOption(job, machine, preemptible, options);
            }
        }
        for (int remaining = tasks; remaining > 0; remaining--) {
            PreemptionOption option = options.poll();
            if (option == null || !transaction.canPutJobs(option.victimJobs())) {
                return false;
            }
            apply(option, job);
            addOption(job, option.machine(), preemptible, options);
        }
        return true;
    }

    /** Stops the victims of the option and sets resources of its machine aside for one task of the job. */
    private void apply(PreemptionOption option, JobRecord job) {
        String machine = option.machine().name();
        FreeResources free = freeByMachine.get(machine);
        for (Victim victim : option.victims()) {
            JobRecord current = transaction.job(victim.job().request().id());
            if (current != null) {
                transaction.putJob(current.withStopping(placement -> placement.equals(victim.placement())));
            }
            free.release(victim.job().request());
        }
        if (!option.victims().isEmpty()) {
            victimsByMachine.get(machine).removeAll(option.victims());
        }
        free.reserve(job.request(), 1);
        targetMachines.add(machine);
    }

    /**
     * Adds an option for one more task on this machine, if it can fit there. Victims are taken in order of increasing
     * loss until the task fits.
     */
    private void addOption(
            JobRecord job,
            MachineRecord machine,
            Predicate<JobRecord> preemptible,
            Collection<PreemptionOption> options) {
        FreeResources free = freeByMachine.get(machine.name());
        if (free.fits(job.request())) {
            options.add(PreemptionOption.of(machine, List.of()));
            return;
        }
        FreeResources freeWithoutVictims = free.copy();
        List<Victim> chosen = new ArrayList<>();
        for (Victim victim : victimsByMachine.computeIfAbsent(machine.name(), this::possibleVictims)) {
            if (preemptible.test(victim.job())) {
                freeWithoutVictims.release(victim.job().request());
                chosen.add(victim);
                if (freeWithoutVictims.fits(job.request())) {
                    options.add(PreemptionOption.of(machine, chosen));
                    return;
                }
            }
        }
    }

    /** Returns the best-effort tasks on the machine that are not stopping yet, in order of increasing loss. */
    private List<Victim> possibleVictims(String machine) {
        List<Victim> victims = new ArrayList<>();
        clusterState.placementsOn(machine).forEach((id, placement) -> {
            JobRecord job = clusterState.job(id.task().job());
            if (!placement.stopping() && !job.isReserved() && !job.isCancelled()) {
                victims.add(new Victim(job, placement, loss(job, placement)));
            }
        });
        victims.sort(Comparator.comparingDouble(Victim::loss));
        return victims;
    }

    /**
     * Returns the weighted CPU seconds that preemption would lose. The lost time is the time since the placement. For
     * jobs with checkpoints it is at most the time that saving a checkpoint takes, because a task that is stopped gets
     * time to save a checkpoint first, so that only the time for saving it is lost. One second is added, so that the
     * loss of a task that has just started is not zero and still depends on its CPUs.
     */
    private double loss(JobRecord job, Placement placement) {
        Duration runTime = Duration.between(placement.placedAt(), transaction.wallClockTime());
        double seconds = Math.max(0, runTime.toMillis() / 1000.0);
        if (job.request().hasCheckpoints()) {
            seconds = Math.min(seconds, job.request().checkpointTime().toMillis() / 1000.0);
        }
        double weight = deadlines.isDeferredAsLate(job, transaction.wallClockTime()) ? LATE_JOB_WEIGHT : 1;
        return (1 + seconds) * job.request().cpus() * weight;
    }
}
