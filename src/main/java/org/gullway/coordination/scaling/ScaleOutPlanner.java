package org.gullway.coordination.scaling;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.coordination.placement.FreeResources;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.QuotaHeadroom;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/**
 * Decides which machines to provision: packs the waiting tasks that quotas and job records permit, and the spare capacity
 * for reserved jobs, onto the machines that have booted or are booting. The tasks that do not fit there need new machines.
 */
final class ScaleOutPlanner {
    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final TeamQuotas quotas;
    private final RecordCapacity recordCapacity;
    private final SpareCapacityPolicy spareCapacity;

    ScaleOutPlanner(
            ClusterState clusterState,
            MachineTypeCatalog machineTypes,
            TeamQuotas quotas,
            RecordCapacity recordCapacity,
            SpareCapacityPolicy spareCapacity) {
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.quotas = quotas;
        this.recordCapacity = recordCapacity;
        this.spareCapacity = spareCapacity;
    }

    /** The machines to provision, chosen from these offerings, of which the most preferred comes first. */
    List<ProvisioningRequest> plan(List<MachineOffering> offerings, Instant now) {
        BinPacking packing = new BinPacking(offerings);
        addMachines(packing);
        packJobs(packing, now);
        List<ProvisioningRequest> requests = new ArrayList<>();
        packing.machinesToProvision().forEach((offering, count) -> addRequests(requests, offering, count));
        return requests;
    }

    /** Adds the machines with enough free processors for at least the smallest task. */
    private void addMachines(BinPacking packing) {
        double smallestTask = smallestTaskCpus();
        for (MachineRecord machine : clusterState.machines()) {
            MachineType type = machineTypes.byName().get(machine.type());
            if (type != null && machine.lifecycle() == MachineLifecycle.ACTIVE) {
                ResourceUsage used = clusterState.usageOn(machine.name());
                if (smallestTask <= FreeResources.of(type, used).usableCpus() + EPSILON) {
                    packing.add(new MachineOffering(type, machine.zone(), machine.spot()), used);
                }
            }
        }
    }

    private double smallestTaskCpus() {
        double smallest = Double.MAX_VALUE;
        for (JobRecord job : clusterState.jobs()) {
            if (job.waitingTasks() > 0 || job.isReserved()) {
                smallest = Math.min(smallest, job.request().cpus());
            }
        }
        return smallest;
    }

    private void packJobs(BinPacking packing, Instant now) {
        JobRequest lastReserved = null;
        double reservedCpus = 0;
        QuotaHeadroom headroom = new QuotaHeadroom(clusterState, quotas);
        for (JobRecord job : jobsInPackingOrder()) {
            JobRequest request = job.request();
            if (job.isReserved() && !job.isCancelled()) {
                lastReserved = request;
                reservedCpus += recordCapacity.activeTasks(job) * request.cpus();
            }
            int tasks = headroom.admit(job, recordCapacity.startableTasks(job));
            if (tasks > 0) {
                packing.pack(request, tasks);
            }
        }
        // Packing needs a job request, which the spare capacity does not have: the request of the last reserved job in
        // packing order stands for it.
        if (lastReserved != null) {
            int spareTasks = (int) Math.ceil(spareCapacity.requiredCpus(reservedCpus, now) / lastReserved.cpus());
            packing.pack(lastReserved, spareTasks);
        }
    }

    /**
     * By priority, then fewest waiting tasks first, so that a huge array does not use up {@link
     * BinPacking#MAX_NEW_MACHINES} before smaller jobs of its priority are packed.
     */
    private List<JobRecord> jobsInPackingOrder() {
        List<JobRecord> jobs = new ArrayList<>(clusterState.jobs());
        jobs.sort(Comparator.<JobRecord, Priority>comparing(job -> job.request().priority())
                .thenComparingInt(JobRecord::waitingTasks));
        return jobs;
    }

    private static void addRequests(List<ProvisioningRequest> requests, MachineOffering offering, int count) {
        for (int remaining = count; remaining > 0; remaining -= CloudMessages.MAX_PROVISIONED_PER_CALL) {
            requests.add(new ProvisioningRequest(
                    offering.type().name(),
                    offering.zone(),
                    offering.spot(),
                    Math.min(remaining, CloudMessages.MAX_PROVISIONED_PER_CALL)));
        }
    }
}
