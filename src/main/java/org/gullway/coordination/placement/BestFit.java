package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;

/** Chooses machines for tasks: the fullest that fits, with the image before without. */
public final class BestFit {
    private final PlacementConstraints constraints;

    public BestFit(PlacementConstraints constraints) {
        this.constraints = constraints;
    }

    /**
     * Reserves room for up to so many tasks of the job: each on the fullest of these machines that fits. A machine that
     * was chosen is fuller afterwards, so it is filled before the next. A machine without the image starts the task
     * seconds later, so it fits less well than any that has it.
     */
    public List<MachineRecord> reserve(
            JobRecord job,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction transaction,
            ClusterState clusterState) {
        return reserve(job, List.of(), tasks, machines, transaction, clusterState);
    }

    /** The same for a job of which tasks are about to be placed on some machines, which count for its zones as well. */
    public List<MachineRecord> reserve(
            JobRecord job,
            List<MachineRecord> planned,
            int tasks,
            Collection<MachineRecord> machines,
            Transaction transaction,
            ClusterState clusterState) {
        JobRequest request = job.request();
        List<Candidate> candidates = new ArrayList<>();
        for (MachineRecord machine : machines) {
            if (tasks > 0
                    && PlacementConstraints.isCompatible(request, machine)
                    && constraints.fits(request, machine, transaction)) {
                candidates.add(new Candidate(
                        machine,
                        clusterState.hasImage(machine.name(), request.image()),
                        constraints.freeCpus(machine, transaction)));
            }
        }
        if (candidates.size() > 1) {
            candidates.sort(Candidate.ORDER);
        }
        List<String> zones = new ArrayList<>();
        boolean minded = request.singleZone() || request.spreadAcrossZones();
        if (minded) {
            for (Placement placement : job.livePlacements()) {
                MachineRecord other = clusterState.machine(placement.machine());
                zones.add(other == null ? "" : other.zone());
            }
            planned.forEach(machine -> zones.add(machine.zone()));
        }
        List<MachineRecord> taken = new ArrayList<>();
        for (Candidate candidate : candidates) {
            MachineRecord machine = candidate.machine();
            while (taken.size() < tasks
                    && constraints.fits(request, machine, transaction)
                    && (!minded || PlacementConstraints.isZoneAllowed(request, zones, machine.zone()))) {
                transaction.reserve(job, machine);
                taken.add(machine);
                if (minded) {
                    zones.add(machine.zone());
                }
            }
            if (taken.size() == tasks) {
                break;
            }
        }
        return taken;
    }

    private record Candidate(MachineRecord machine, boolean image, double free) {
        private static final Comparator<Candidate> ORDER = Comparator.<Candidate>comparingInt(c -> c.image ? 0 : 1)
                .thenComparingDouble(Candidate::free)
                .thenComparing(c -> c.machine.name());
    }
}
