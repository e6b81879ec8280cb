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
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/**
 * Cordons machines, so that no best-effort task starts there while reserved jobs wait for them, and keeps machines for
 * the large tasks of stalled best-effort jobs, which small tasks would otherwise take all resources from for ever.
 */
final class CordonPlanner {
    /** In a large fleet the choice changes all the time, and each change is one of few that the store allows. */
    private static final Duration CHANGE_INTERVAL = Duration.ofSeconds(2);

    private static final int MAX_STALLED_JOBS = 3;
    /** Keeps a divisor above zero. */
    private static final double MIN_MEMORY_GB = 1e-9;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private Instant changedAt = Instant.MIN;

    /** A machine with its free processors when candidates are ordered. */
    private record Candidate(MachineRecord machine, double freeCpus) {
        private static final Comparator<Candidate> MOST_FREE_FIRST = Comparator.comparingDouble(Candidate::freeCpus)
                .reversed()
                .thenComparing(candidate -> candidate.machine.name());
    }

    CordonPlanner(ClusterState clusterState, PlacementConstraints constraints) {
        this.clusterState = clusterState;
        this.constraints = constraints;
    }

    /** Whether other machines may be cordoned now; all machines of a large fleet are considered only then. */
    boolean mayChange(Transaction transaction) {
        return clusterState.cordonedMachines().isEmpty()
                || clusterState.machines().size() <= MachineWindow.MAX_MACHINES
                || !changedAt.plus(CHANGE_INTERVAL).isAfter(transaction.timeOfDay());
    }

    /** Cordons these machines for reserved jobs and one for each of some stalled jobs, and no others. */
    void cordon(Transaction transaction, Set<String> forReserved) {
        Set<String> wanted = new LinkedHashSet<>(forReserved);
        wanted.addAll(machinesForStalledJobs(transaction));
        boolean changes = !wanted.equals(clusterState.cordonedMachines());
        if (changes && transaction.hasCapacityFor(1) && (wanted.isEmpty() || mayChange(transaction))) {
            changedAt = transaction.timeOfDay();
            transaction.put(StoreKeys.CORDONED, new CordonedMachines(wanted));
        }
    }

    /** The machines with most free resources that together would fit all waiting tasks of these jobs once empty. */
    Set<String> machinesFor(List<JobRecord> jobs, List<MachineRecord> machines, Transaction transaction) {
        Set<String> chosen = new LinkedHashSet<>();
        if (jobs.isEmpty()) {
            return chosen;
        }
        List<Candidate> candidates = mostFreeFirst(machines, transaction);
        for (JobRecord job : jobs) {
            addMachinesFor(job, candidates, chosen);
        }
        return chosen;
    }

    private void addMachinesFor(JobRecord job, List<Candidate> candidates, Set<String> chosen) {
        JobRequest request = job.request();
        int tasks = job.waitingTasks();
        for (Candidate candidate : candidates) {
            if (tasks <= 0 || chosen.size() >= CordonedMachines.MAX_MACHINES) {
                return;
            }
            MachineRecord machine = candidate.machine();
            MachineType type = constraints.typeOf(machine);
            if (type != null
                    && type.fits(request)
                    && constraints.isAllowed(job, machine, clusterState)
                    && chosen.add(machine.name())) {
                tasks -= (int) Math.min(
                        type.cpus() / request.cpus(), type.memoryGb() / Math.max(MIN_MEMORY_GB, request.memoryGb()));
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

    /** One machine for each of some stalled best-effort jobs; only the job's owner may start tasks there. */
    private Set<String> machinesForStalledJobs(Transaction transaction) {
        List<JobRecord> stalled = clusterState.jobs().stream()
                .filter(job -> !job.isReserved() && job.isStalledAt(transaction.timeOfDay()))
                .sorted(JobRecord.STALLED_ORDER)
                .limit(MAX_STALLED_JOBS)
                .toList();
        Set<String> chosen = new LinkedHashSet<>();
        for (JobRecord job : stalled) {
            clusterState.machines().stream()
                    .filter(machine -> !chosen.contains(machine.name()) && couldRunOn(job, machine))
                    .max(bestLast(transaction))
                    .ifPresent(machine -> chosen.add(machine.name()));
        }
        return chosen;
    }

    /** By free processors; among equals a machine that is cordoned already stays so. */
    private Comparator<MachineRecord> bestLast(Transaction transaction) {
        return Comparator.<MachineRecord>comparingDouble(machine -> constraints.freeCpus(machine, transaction))
                .thenComparing(machine -> clusterState.cordonedMachines().contains(machine.name()))
                .thenComparing(MachineRecord::name);
    }

    /** Whether one task of the job would fit on the machine if that was empty. */
    private boolean couldRunOn(JobRecord job, MachineRecord machine) {
        MachineType type = constraints.typeOf(machine);
        return PlacementConstraints.isAvailable(machine, clusterState)
                && type != null
                && type.fits(job.request())
                && constraints.isAllowed(job, machine, clusterState);
    }
}
