package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;

/**
 * Best-fit bin packing. Among the machines that a task fits on, machines that already have the task's image come first,
 * because the task starts there without fetching the image; ties go to the machine with the fewest free CPUs.
 */
public final class BestFit {
    private final ClusterState clusterState;
    private final PlacementConstraints constraints;

    public BestFit(ClusterState clusterState, PlacementConstraints constraints) {
        this.clusterState = clusterState;
        this.constraints = constraints;
    }

    /** A machine that the task fits on, with the values that rank it. */
    private record Candidate(MachineRecord machine, boolean hasImage, double freeCpus) {
        private static final Comparator<Candidate> BEST_FIRST = Comparator.<Candidate>comparingInt(
                        candidate -> candidate.hasImage ? 0 : 1)
                .thenComparingDouble(Candidate::freeCpus)
                .thenComparing(candidate -> candidate.machine.name());
    }

    /**
     * Reserves resources in the transaction for up to {@code tasks} tasks of the job, each on the best-ranked of the
     * given machines.
     *
     * @return one machine per task that fits; shorter than {@code tasks} if not all tasks fit
     */
    public List<MachineRecord> reserve(
            JobRecord job, int tasks, Collection<MachineRecord> machines, Transaction transaction) {
        return reserve(job, List.of(), tasks, machines, transaction);
    }

    /**
     * Same as {@link #reserve(JobRecord, int, Collection, Transaction)} for a job that also has planned tasks which its
     * record does not contain yet.
     *
     * @param planned the machines of the planned tasks, which count toward the job's zone constraints
     */
    public List<MachineRecord> reserve(
            JobRecord job,
            List<MachineRecord> planned,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction transaction) {
        JobRequest request = job.request();
        List<Candidate> candidates = tasks > 0 ? candidates(request, machines, transaction) : List.of();
        TaskZones zones = new TaskZones(job, clusterState);
        planned.forEach(zones::add);
        List<MachineRecord> reserved = new ArrayList<>();
        for (Candidate candidate : candidates) {
            MachineRecord machine = candidate.machine();
            // Each reservation makes the machine fuller, so it remains the best fit until no further task fits on it.
            while (reserved.size() < tasks
                    && constraints.fits(request, machine, transaction)
                    && zones.allows(machine.zone())) {
                transaction.reserve(job, machine);
                reserved.add(machine);
                zones.add(machine);
            }
            if (reserved.size() == tasks) {
                break;
            }
        }
        return reserved;
    }

    private List<Candidate> candidates(
            JobRequest request, Collection<MachineRecord> machines, Transaction transaction) {
        List<Candidate> candidates = new ArrayList<>();
        for (MachineRecord machine : machines) {
            if (PlacementConstraints.isCompatible(request, machine)
                    && constraints.fits(request, machine, transaction)) {
                candidates.add(new Candidate(
                        machine,
                        clusterState.hasImage(machine.name(), request.image()),
                        constraints.freeCpus(machine, transaction)));
            }
        }
        if (candidates.size() > 1) {
            candidates.sort(Candidate.BEST_FIRST);
        }
        return candidates;
    }
}
