package org.gullway.coordination.placement;

import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Checks whether a task may run on a machine: machine type, zone, spot or on-demand, and free resources. */
public final class PlacementConstraints {
    private final MachineTypeCatalog machineTypes;

    public PlacementConstraints(MachineTypeCatalog machineTypes) {
        this.machineTypes = machineTypes;
    }

    public MachineTypeCatalog machineTypes() {
        return machineTypes;
    }

    /** Returns the type of this machine, or null if the cloud provider does not list the type. */
    public MachineType typeOf(MachineRecord machine) {
        return machineTypes.byName().get(machine.type());
    }

    /**
     * Returns the CPUs of the machine that tasks can use after the placements in the cluster state and in the
     * transaction: 0 if no further task fits, however small it is, or if the machine's type is unknown.
     */
    public double freeCpus(MachineRecord machine, Transaction transaction) {
        MachineType type = typeOf(machine);
        return type == null
                ? 0
                : FreeResources.of(type, transaction.usageOn(machine.name())).usableCpus();
    }

    /**
     * Returns whether one more task of the job fits into the machine's free resources, after the placements in the
     * cluster state and in the transaction.
     */
    public boolean fits(JobRequest job, MachineRecord machine, Transaction transaction) {
        MachineType type = typeOf(machine);
        return type != null
                && FreeResources.of(type, transaction.usageOn(machine.name())).fits(job);
    }

    /**
     * Returns whether the machine accepts new tasks and the controller that commands its agent is a member of the
     * cluster, so that start commands can be sent.
     */
    public static boolean isAvailable(MachineRecord machine, ClusterState clusterState) {
        return machine.isSchedulable() && clusterState.isMember(machine.controller());
    }

    /**
     * Returns whether the job's tasks must share one zone or be spread across zones, so that the zones allowed for a
     * task depend on where the job's other tasks run.
     */
    public static boolean constrainsZones(JobRequest request) {
        return request.singleZone() || request.spreadAcrossZones();
    }

    /** Returns whether the request allows this machine, regardless of the zones of the job's other tasks. */
    static boolean isCompatible(JobRequest request, MachineRecord machine) {
        return (!machine.spot() || request.spotAllowed())
                && (request.zone() == null || request.zone().equals(machine.zone()))
                && (request.machineTypes() == null || request.machineTypes().contains(machine.type()));
    }

    /** Returns whether the job allows this machine, including the zone constraints that its other tasks imply. */
    public boolean isAllowed(JobRecord job, MachineRecord machine, ClusterState clusterState) {
        return isCompatible(job.request(), machine)
                && (!constrainsZones(job.request()) || new TaskZones(job, clusterState).allows(machine.zone()));
    }
}
