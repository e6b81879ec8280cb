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
 * Chooses machines for tasks: of those that fit, machines with the task's image come first, since the task starts
 * there without a fetch, and among these the fullest.
 */
public final class BestFit {
    private final ClusterState clusterState;
    private final PlacementConstraints constraints;

    public BestFit(ClusterState clusterState, PlacementConstraints constraints) {
        this.clusterState = clusterState;
        this.constraints = constraints;
    }

    /** A machine that fits, with what its place in the order depends on. */
    private record Candidate(MachineRecord machine, boolean hasImage, double freeCpus) {
        private static final Comparator<Candidate> BEST_FIRST = Comparator.<Candidate>comparingInt(
                        candidate -> candidate.hasImage ? 0 : 1)
                .thenComparingDouble(Candidate::freeCpus)
                .thenComparing(candidate -> candidate.machine.name());
    }

    /**
     * Reserves resources in the transaction for up to this many tasks of the job, each on the best of these machines,
     * and returns the machine of each task that fits.
     */
    public List<MachineRecord> reserve(
            JobRecord job, int tasks, Collection<MachineRecord> machines, Transaction transaction) {
        return reserve(job, List.of(), tasks, machines, transaction);
    }

    /** As above for a job with tasks that are planned but not on record: their machines count for its zones. */
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
            // A machine that was chosen is fuller than before, so it stays the best until nothing more fits.
            while (reserved.size() < tasks
                    && constraints.fits(request, machine, transaction)
                    && zones.allow(machine.zone())) {
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
