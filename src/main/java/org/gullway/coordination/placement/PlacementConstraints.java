package org.gullway.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Where a task may be placed: machine type, zone, spot or on-demand, and free resources. */
public final class PlacementConstraints {
    private static final double EPSILON = 1e-6;

    private final MachineTypeCatalog machineTypes;

    public PlacementConstraints(MachineTypeCatalog machineTypes) {
        this.machineTypes = machineTypes;
    }

    public MachineTypeCatalog machineTypes() {
        return machineTypes;
    }

    /** Processors of the machine that neither the records nor the transaction take; 0 if its type is unknown. */
    public double freeCpus(MachineRecord machine, Transaction transaction) {
        MachineType type = machineTypes.byName().get(machine.type());
        return type == null ? 0 : type.cpus() - transaction.cpusUsedOn(machine.name());
    }

    /** Whether one task fits on the machine beside all that is on record or in the draft. */
    public boolean fits(JobRequest job, MachineRecord machine, Transaction transaction) {
        MachineType type = machineTypes.byName().get(machine.type());
        return type != null
                && transaction.cpusUsedOn(machine.name()) + job.cpus() <= type.cpus() + EPSILON
                && transaction.memoryUsedOn(machine.name()) + job.memoryGb() <= type.memoryGb() + EPSILON
                && transaction.gpusUsedOn(machine.name()) + job.gpus() <= type.gpus() + EPSILON;
    }

    /** Whether the job allows this machine, were it not for where its other tasks are. */
    static boolean isCompatible(JobRequest request, MachineRecord machine) {
        return (!machine.spot() || request.spotAllowed())
                && (request.zone() == null || request.zone().equals(machine.zone()))
                && (request.machineTypes() == null || request.machineTypes().contains(machine.type()));
    }

    /** Whether the job allows this machine, given where its other tasks are. */
    public boolean isAllowed(JobRecord job, MachineRecord machine, ClusterState clusterState) {
        JobRequest request = job.request();
        if (!isCompatible(request, machine)) {
            return false;
        }
        if (!request.singleZone() && !request.spreadAcrossZones()) {
            return true;
        }
        List<String> zones = new ArrayList<>();
        for (Placement placement : job.livePlacements()) {
            MachineRecord other = clusterState.machine(placement.machine());
            zones.add(other == null ? "" : other.zone());
        }
        return isZoneAllowed(request, zones, machine.zone());
    }

    static boolean isZoneAllowed(JobRequest request, List<String> zones, String zone) {
        int here = (int) zones.stream().filter(zone::equals).count();
        return (!request.singleZone() || here == zones.size())
                && (!request.spreadAcrossZones() || here + 1 <= (request.tasks() + 1) / 2);
    }
}
