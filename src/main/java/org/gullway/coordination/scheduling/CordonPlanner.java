package org.gullway.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.FreeResources;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/**
 * Chooses the machines to cordon. On a cordoned machine only tasks of reserved jobs and of stalled best-effort jobs
 * start. Some machines are cordoned for waiting reserved jobs; others are cordoned for the large tasks of stalled
 * best-effort jobs, which would starve if small tasks took all released resources.
 */
final class CordonPlanner {
    /**
     * The minimum time between changes in a large fleet. The choice would otherwise change in almost every cycle, and
     * the state store allows only a few changes per second.
     */
    private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(2);

    private static final int MAX_STALLED_JOBS = 3;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private Instant changedAt = Instant.MIN;

    /** A machine with the free CPUs by which candidates are ordered. */
    private record Candidate(MachineRecord machine, double freeCpus) {
        private static final Comparator<Candidate> MOST_FREE_FIRST = Comparator.comparingDouble(Candidate::freeCpus)
                .reversed()
                .thenComparing(candidate -> candidate.machine.name());
    }

    CordonPlanner(ClusterState clusterState, PlacementConstraints constraints) {
        this.clusterState = clusterState;
        this.constraints = constraints;
    }

    /**
     * Returns whether the set of cordoned machines may change now: always if it is empty or the fleet is small,
     * otherwise once the minimum time since the last change has elapsed. While this is false, {@link #cordon} ignores
     * every set that is not empty, so the scan of all machines in {@link #machinesFor} would be wasted.
     */
    boolean mayChange(Transaction transaction) {
        return clusterState.cordonedMachines().isEmpty()
                || clusterState.machines().size() <= MachineWindow.MAX_MACHINES
                || !changedAt.plus(CHANGE_INTERVAL).isAfter(transaction.wallClockTime());
    }

    /**
     * Replaces the set of cordoned machines by the given machines and one machine for each of the first {@link
     * #MAX_STALLED_JOBS} stalled best-effort jobs. Does nothing if the set stays the same, the transaction has no
     * capacity left, or the set may not change yet; an empty set is written without waiting for {@link #mayChange}.
     *
     * <p>Machines beyond those that one value of the state store can hold are left out, stalled jobs' machines last.
     *
     * @param forReserved names of the machines to cordon for reserved jobs
     */
    void cordon(Transaction transaction, Set<String> forReserved) {
        Set<String> wanted = new LinkedHashSet<>(machinesForStalledJobs(transaction));
        wanted.addAll(forReserved);
        CordonedMachines next = CordonedMachines.firstThatFit(wanted, transaction.maxValueBytes());
        boolean changes = !next.names().equals(clusterState.cordonedMachines());
        if (changes && transaction.hasCapacityFor(1) && (next.names().isEmpty() || mayChange(transaction))) {
            changedAt = transaction.wallClockTime();
            transaction.put(StoreKeys.CORDONED, next);
        }
    }

    /**
     * Chooses machines until all waiting tasks of the given jobs fit on them once no other tasks run there, or until no
     * suitable machine is left. Tasks for which a job's record has no room are not counted. Machines with the most free CPUs are chosen first.
     *
     * @return the names of at most {@link CordonedMachines#MAX_MACHINES} machines
     */
    Set<String> machinesFor(List<JobRecord> jobs, List<MachineRecord> machines, Transaction transaction) {
        Set<String> chosen = new LinkedHashSet<>();
        if (jobs.isEmpty()) {
            return chosen;
        }
        List<Candidate> candidates = mostFreeFirst(machines, transaction);
        for (JobRecord job : jobs) {
            addMachinesFor(job, transaction.recordCapacity().startableTasks(job), candidates, chosen);
        }
        return chosen;
    }

    private void addMachinesFor(JobRecord job, int tasks, List<Candidate> candidates, Set<String> chosen) {
        JobRequest request = job.request();
        int remaining = tasks;
        for (Candidate candidate : candidates) {
            if (remaining <= 0 || chosen.size() >= CordonedMachines.MAX_MACHINES) {
                return;
            }
            MachineRecord machine = candidate.machine();
            MachineType type = constraints.typeOf(machine);
            if (type != null
                    && type.canHostTaskOf(request)
                    && constraints.isAllowed(job, machine, clusterState)
                    && chosen.add(machine.name())) {
                remaining -= FreeResources.ofEmpty(type).fittingTasks(request);
            }
        }
    }

    private List<Candidate> mostFreeFirst(List<MachineRecord> machines, Transaction transaction) {
        List<Candidate> candidates = new ArrayList<>(machines.size());
        for (MachineRecord machine : machines) {
            candidates.add(new Candidate(machine, constraints.freeCpus(machine, transaction)));
        }
        candidates.sort(Candidate.MOST_FREE_FIRST);
        return candidates;
    }

    /**
     * Returns the names of one machine for each of the first {@link #MAX_STALLED_JOBS} stalled best-effort jobs, in
     * {@link JobRecord#STALLED_ORDER}.
     */
    private Set<String> machinesForStalledJobs(Transaction transaction) {
        List<JobRecord> stalled = clusterState.jobs().stream()
                .filter(job -> !job.isReserved() && job.isStalledAt(transaction.wallClockTime()))
                .sorted(JobRecord.STALLED_ORDER)
                .limit(MAX_STALLED_JOBS)
                .toList();
        Set<String> chosen = new LinkedHashSet<>();
        for (JobRecord job : stalled) {
            clusterState.machines().stream()
                    .filter(machine -> !chosen.contains(machine.name()) && fitsOnEmptyMachine(job, machine))
                    .max(byFreeCpusThenCordoned(transaction))
                    .ifPresent(machine -> chosen.add(machine.name()));
        }
        return chosen;
    }

    /**
     * Orders machines by free CPUs, best candidate last. Among equals, machines that are already cordoned are better,
     * so that the choice is stable.
     */
    private Comparator<MachineRecord> byFreeCpusThenCordoned(Transaction transaction) {
        return Comparator.<MachineRecord>comparingDouble(machine -> constraints.freeCpus(machine, transaction))
                .thenComparing(machine -> clusterState.cordonedMachines().contains(machine.name()))
                .thenComparing(MachineRecord::name);
    }

    /** Returns whether one task of the job would fit on the machine if no other tasks ran there. */
    private boolean fitsOnEmptyMachine(JobRecord job, MachineRecord machine) {
        MachineType type = constraints.typeOf(machine);
        return PlacementConstraints.isAvailable(machine, clusterState)
                && type != null
                && type.canHostTaskOf(job.request())
                && constraints.isAllowed(job, machine, clusterState);
    }
}
