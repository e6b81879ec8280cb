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
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/**
 * Stops tasks to make room for work that may displace them. Room that is already being freed is counted first, so
 * that one waiting task never has two others stopped for it.
 */
final class PreemptionPlanner {
    /** Work of a job that is late anyway weighs less than work that can still be in time. */
    private static final double TOO_LATE_WEIGHT = 0.3;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final DeadlinePolicy deadlines;
    private final Transaction transaction;
    /** Room that is free, or will be once stopping tasks are gone, less what is meant for waiting tasks. */
    private final Map<String, FreeResources> free = new HashMap<>();

    private final Map<String, List<Victim>> stoppable = new HashMap<>();
    private final Set<String> meant = new LinkedHashSet<>();

    private static final class FreeResources {
        private double cpus;
        private double cards;
        private double memoryGb;

        boolean fits(JobRequest job) {
            return job.cpus() <= cpus + 1e-6 && job.gpus() <= cards + 1e-6 && job.memoryGb() <= memoryGb + 1e-6;
        }

        void change(JobRequest job, int sign) {
            cpus += sign * job.cpus();
            cards += sign * job.gpus();
            memoryGb += sign * job.memoryGb();
        }

        FreeResources copy() {
            FreeResources copy = new FreeResources();
            copy.cpus = cpus;
            copy.cards = cards;
            copy.memoryGb = memoryGb;
            return copy;
        }
    }

    private record Victim(JobRecord job, Placement placement, double loss) {}

    /** One task's room on a machine and what it costs. */
    private record PreemptionOption(MachineRecord machine, List<Victim> victims, double loss) {}

    PreemptionPlanner(
            ClusterState clusterState,
            PlacementConstraints constraints,
            DeadlinePolicy deadlines,
            Transaction transaction,
            Collection<MachineRecord> machines) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.deadlines = deadlines;
        this.transaction = transaction;
        for (MachineRecord machine : machines) {
            MachineType type = constraints.machineTypes().byName().get(machine.type());
            if (type == null) {
                continue;
            }
            FreeResources room = new FreeResources();
            room.cpus = type.cpus() - transaction.cpusUsedOn(machine.name());
            room.cards = type.gpus() - transaction.gpusUsedOn(machine.name());
            room.memoryGb = type.memoryGb() - transaction.memoryUsedOn(machine.name());
            free.put(machine.name(), room);
            clusterState.placementsOn(machine.name()).forEach((id, placement) -> {
                JobRecord job = clusterState.job(id.task().job());
                if (placement.stopping() || job.isCancelled()) {
                    room.change(job.request(), 1);
                }
            });
        }
    }

    /** Machines on which room is meant for waiting tasks. */
    Set<String> targetMachines() {
        return meant;
    }

    /**
     * Finds room for so many tasks of the job: free, being freed, or freed by stopping tasks of jobs that may be
     * displaced, where that loses least. False if there is not enough.
     */
    boolean preemptFor(JobRecord job, int tasks, List<MachineRecord> machines, Predicate<JobRecord> displaceable) {
        if (tasks == 0) {
            return true;
        }
        PriorityQueue<PreemptionOption> ways = new PriorityQueue<>(Comparator.comparingDouble(PreemptionOption::loss));
        for (MachineRecord machine : machines) {
            if (free.containsKey(machine.name()) && constraints.isAllowed(job, machine, clusterState)) {
                consider(job, machine, displaceable, ways);
            }
        }
        int left = tasks;
        while (left > 0) {
            PreemptionOption way = ways.poll();
            if (way == null
                    || !transaction.hasCapacityFor(Math.max(1, way.victims().size()))) {
                return false;
            }
            FreeResources room = free.get(way.machine().name());
            for (Victim victim : way.victims()) {
                JobRecord current = transaction.job(victim.job().request().id());
                if (current != null) {
                    transaction.putJob(current.withStopping(p -> p.equals(victim.placement())));
                }
                room.change(victim.job().request(), 1);
            }
            if (!way.victims().isEmpty()) {
                stoppable.get(way.machine().name()).removeAll(way.victims());
            }
            room.change(job.request(), -1);
            meant.add(way.machine().name());
            left--;
            consider(job, way.machine(), displaceable, ways);
        }
        return true;
    }

    private void consider(
            JobRecord job,
            MachineRecord machine,
            Predicate<JobRecord> displaceable,
            Collection<PreemptionOption> ways) {
        List<Victim> victims = victims(job.request(), machine, free.get(machine.name()), displaceable);
        if (victims != null) {
            ways.add(new PreemptionOption(
                    machine, victims, victims.stream().mapToDouble(Victim::loss).sum()));
        }
    }

    /** The tasks with least work lost that would have to go; empty if there is room already, null if it can't be. */
    private List<Victim> victims(
            JobRequest job, MachineRecord machine, FreeResources room, Predicate<JobRecord> displaceable) {
        if (room.fits(job)) {
            return List.of();
        }
        FreeResources trial = room.copy();
        List<Victim> chosen = new ArrayList<>();
        for (Victim victim : stoppable.computeIfAbsent(machine.name(), this::stoppableOn)) {
            if (displaceable.test(victim.job())) {
                trial.change(victim.job().request(), 1);
                chosen.add(victim);
                if (trial.fits(job)) {
                    return chosen;
                }
            }
        }
        return null;
    }

    /** The tasks on a machine that could be stopped, those with least loss first; looked up once. */
    private List<Victim> stoppableOn(String machine) {
        List<Victim> candidates = new ArrayList<>();
        clusterState.placementsOn(machine).forEach((id, placement) -> {
            JobRecord other = clusterState.job(id.task().job());
            if (!placement.stopping() && !other.isReserved() && !other.isCancelled()) {
                candidates.add(new Victim(other, placement, loss(other, placement)));
            }
        });
        candidates.sort(Comparator.comparingDouble(Victim::loss));
        return candidates;
    }

    /** Processor seconds that are lost: all since the start, or since the last checkpoint at most. */
    private double loss(JobRecord job, Placement placement) {
        Duration run = Duration.between(placement.placedAt(), transaction.timeOfDay());
        double seconds = Math.max(0, run.toMillis() / 1000.0);
        if (job.request().hasCheckpoints()) {
            seconds = Math.min(seconds, job.request().checkpointTime().toMillis() / 1000.0);
        }
        double weight = deadlines.willMissDeadline(job, transaction.timeOfDay()) ? TOO_LATE_WEIGHT : 1;
        return (1 + seconds) * job.request().cpus() * weight;
    }
}
