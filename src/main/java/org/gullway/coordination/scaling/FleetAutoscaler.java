package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.QuotaHeadroom;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.JobRequest;

/**
 * Sizes the fleet, on the leader: scales out, at the lowest price per processor, for waiting tasks that fit on no
 * machine, and scales in machines that were unneeded for the scale-in delay. Spare capacity for reserved jobs is kept.
 */
public final class FleetAutoscaler implements PlanningStep {
    /**
     * Planning iterates over the whole fleet, which is too expensive for every scheduling cycle. Machines take far
     * longer than this interval to boot, so more frequent planning would gain little.
     */
    private static final Duration PLANNING_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final RecordCapacity recordCapacity;
    private final AvailableOfferings availableOfferings;
    private final SpareCapacityPolicy spareCapacity;
    private final ScaleOutPlanner scaleOutPlanner;
    private final ScaleInPolicy scaleInPolicy;
    private Instant scaleOutPlannedAt = Instant.MIN;
    private Instant scaleInPlannedAt = Instant.MIN;

    public FleetAutoscaler(
            ClusterState clusterState,
            PlacementConstraints constraints,
            TeamQuotas quotas,
            RecordCapacity recordCapacity,
            ScalingPolicy policy) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.quotas = quotas;
        this.recordCapacity = recordCapacity;
        this.availableOfferings = new AvailableOfferings(clusterState, constraints.machineTypes());
        this.spareCapacity = new SpareCapacityPolicy(clusterState, recordCapacity, policy.spareCapacityFraction());
        this.scaleOutPlanner =
                new ScaleOutPlanner(clusterState, constraints.machineTypes(), quotas, recordCapacity, spareCapacity);
        this.scaleInPolicy = new ScaleInPolicy(clusterState, constraints, policy);
    }

    /** Records that the cloud provider provisioned fewer machines than were requested. */
    public void onCapacityExhausted(ProvisioningRequest request, Instant now) {
        availableOfferings.onExhausted(request, now);
    }

    /** The machines to provision now, split into requests of at most the size that the cloud provider allows. */
    public List<ProvisioningRequest> machinesToProvision(Instant now) {
        if (scaleOutPlannedAt.plus(PLANNING_INTERVAL).isAfter(now)) {
            return List.of();
        }
        scaleOutPlannedAt = now;
        return scaleOutPlanner.plan(availableOfferings.byPrice(now), now);
    }

    /** Drains machines that are not needed, and declares machines lost if they have not booted in time. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        if (scaleInPlannedAt.plus(PLANNING_INTERVAL).isAfter(now)) {
            return;
        }
        scaleInPlannedAt = now;
        double reservedCpus = 0;
        double waitingCpus = 0;
        QuotaHeadroom headroom = new QuotaHeadroom(clusterState, quotas);
        for (JobRecord job : clusterState.jobs()) {
            JobRequest request = job.request();
            // Unlike in ScaleOutPlanner, the attempts of cancelled jobs that still have to be stopped are included.
            reservedCpus += job.isReserved() ? recordCapacity.activeTasks(job) * request.cpus() : 0;
            waitingCpus += headroom.admit(job, recordCapacity.startableTasks(job)) * request.cpus();
        }
        double freeCpus = freeCpus(transaction);
        double spareCpus = spareCapacity.requiredCpus(reservedCpus, now);
        scaleInPolicy.plan(transaction, new CapacityBalance(freeCpus, waitingCpus, spareCpus), now);
    }

    private double freeCpus(Transaction transaction) {
        double free = 0;
        for (MachineRecord machine : clusterState.machines()) {
            free += machine.isSchedulable() ? constraints.freeCpus(machine, transaction) : 0;
        }
        return free;
    }

    /** Names of the machines to release now: lost machines, and draining machines without tasks. */
    public List<String> machinesToRelease() {
        List<String> names = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            if (machine.lifecycle() == MachineLifecycle.LOST
                    || (machine.lifecycle() == MachineLifecycle.DRAINING && isKnownEmpty(machine))) {
                names.add(machine.name());
            }
        }
        return names;
    }

    /**
     * Whether the watch has reached the latest known write of the machine's shard and the replica shows no placement on
     * the machine. A controller that does not know yet that the machine is draining may still place a task on it; that
     * placement is removed together with the machine.
     */
    private boolean isKnownEmpty(MachineRecord machine) {
        return clusterState.watchedRevision().isAtLeast(clusterState.machineVersion(machine.name()))
                && clusterState.usageOn(machine.name()).tasks == 0;
    }
}
