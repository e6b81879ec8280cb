package org.gullway.coordination.placement;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Where a task may be placed: machine type, zone, spot or on-demand, and free resources. */
public final class PlacementConstraints {
    private final MachineTypeCatalog machineTypes;

    public PlacementConstraints(MachineTypeCatalog machineTypes) {
        this.machineTypes = machineTypes;
    }

    public MachineTypeCatalog machineTypes() {
        return machineTypes;
    }

    /** The type of this machine, or null if the provider does not list it. */
    public MachineType typeOf(MachineRecord machine) {
        return machineTypes.byName().get(machine.type());
    }

    /** Processors of the machine that neither the records nor the transaction use; 0 if its type is unknown. */
    public double freeCpus(MachineRecord machine, Transaction transaction) {
        MachineType type = typeOf(machine);
        return type == null ? 0 : type.cpus() - transaction.cpusUsedOn(machine.name());
    }

    /** Whether one task fits on the machine beside all that is on record or in the transaction. */
    public boolean fits(JobRequest job, MachineRecord machine, Transaction transaction) {
        MachineType type = typeOf(machine);
        return type != null
                && transaction.cpusUsedOn(machine.name()) + job.cpus() <= type.cpus() + EPSILON
                && transaction.memoryUsedOn(machine.name()) + job.memoryGb() <= type.memoryGb() + EPSILON
                && transaction.gpusUsedOn(machine.name()) + job.gpus() <= type.gpus() + EPSILON;
    }

    /** Whether the machine takes tasks and a member of the cluster can send it their starts. */
    public static boolean isAvailable(MachineRecord machine, ClusterState clusterState) {
        return machine.isSchedulable() && clusterState.isMember(machine.controller());
    }

    /** Whether the job's tasks have to be in one zone or spread, so that a task's place depends on the others'. */
    public static boolean constrainsZones(JobRequest request) {
        return request.singleZone() || request.spreadAcrossZones();
    }

    /** Whether the request allows this machine, apart from where the job's other tasks are. */
    static boolean isCompatible(JobRequest request, MachineRecord machine) {
        return (!machine.spot() || request.spotAllowed())
                && (request.zone() == null || request.zone().equals(machine.zone()))
                && (request.machineTypes() == null || request.machineTypes().contains(machine.type()));
    }

    /** Whether the job allows this machine, given where its other tasks are. */
    public boolean isAllowed(JobRecord job, MachineRecord machine, ClusterState clusterState) {
        return isCompatible(job.request(), machine)
                && (!constrainsZones(job.request()) || new TaskZones(job, clusterState).allow(machine.zone()));
    }
}
