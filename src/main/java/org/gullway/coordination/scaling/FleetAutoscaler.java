package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.QuotaHeadroom;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Priority;

/**
 * The leader's sizing of the fleet. All waiting tasks are laid out on the free room of machines that are up or
 * booting; what finds no room there decides what to rent, at the lowest price for its processors. Machines that have
 * been idle for long, beyond the room kept for urgent work, are returned.
 */
public final class FleetAutoscaler implements PlanningStep {
    /** Sizing looks at the whole fleet; machines take far longer to come up. */
    private static final Duration PLAN_EVERY = Duration.ofMillis(500);

    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(10);
    private static final double EPSILON = 1e-6;

    /** What can be set about the size of the fleet. */
    public record ScalingPolicy(double spareCapacityShare, Duration scaleInDelay, int bootTimeoutFactor) {}

    /** Something to rent. */
    public record ProvisioningRequest(String type, String zone, boolean spot, int count) {}

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final TeamQuotas quotas;
    private final SpareCapacityPolicy spareRoom;
    private final ScaleInPolicy reduction;
    private Instant plannedAt = Instant.MIN;
    private Instant proposedAt = Instant.MIN;
    /** Kinds of which the cloud had none, and until when they are not asked for. */
    private final Map<MachineOffering, Instant> exhausted = new HashMap<>();

    public FleetAutoscaler(
            ClusterState clusterState, PlacementConstraints constraints, TeamQuotas quotas, ScalingPolicy policy) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.quotas = quotas;
        this.spareRoom = new SpareCapacityPolicy(clusterState, policy.spareCapacityShare());
        this.reduction = new ScaleInPolicy(clusterState, constraints, policy);
    }

    /** The cloud had fewer machines than were asked for. */
    public void onCapacityExhausted(ProvisioningRequest request, Instant now) {
        offering(request).ifPresent(offering -> exhausted.put(offering, now.plus(NO_CAPACITY_PAUSE)));
    }

    private Optional<MachineOffering> offering(ProvisioningRequest request) {
        MachineType type = constraints.machineTypes().byName().get(request.type());
        return type == null ? Optional.empty() : Optional.of(new MachineOffering(type, request.zone(), request.spot()));
    }

    /** What to rent now, each at most as many as one request may ask for. */
    public List<ProvisioningRequest> machinesToProvision(Instant now) {
        if (plannedAt.plus(PLAN_EVERY).isAfter(now)) {
            return List.of();
        }
        plannedAt = now;
        BinPacking packing = new BinPacking(offerings(now));
        addMachines(packing);
        layOutJobs(packing, now);
        List<ProvisioningRequest> rentals = new ArrayList<>();
        packing.machinesToProvision().forEach((offering, count) -> {
            for (int left = count; left > 0; left -= CloudMessages.MAX_PROVISIONED_PER_CALL) {
                rentals.add(new ProvisioningRequest(
                        offering.type().name(),
                        offering.zone(),
                        offering.spot(),
                        Math.min(left, CloudMessages.MAX_PROVISIONED_PER_CALL)));
            }
        });
        return rentals;
    }

    /** What can be rented, the cheapest first, and of equal ones that of the zone with fewest machines. */
    private List<MachineOffering> offerings(Instant now) {
        exhausted.values().removeIf(until -> !now.isBefore(until));
        List<MachineOffering> offerings = new ArrayList<>();
        for (MachineType type : constraints.machineTypes().byName().values()) {
            for (String zone : type.zones()) {
                offerings.add(new MachineOffering(type, zone, true));
                offerings.add(new MachineOffering(type, zone, false));
            }
        }
        offerings.removeIf(exhausted::containsKey);
        Map<String, Integer> machinesInZone = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            machinesInZone.merge(machine.zone(), 1, Integer::sum);
        }
        offerings.sort(Comparator.comparingDouble(MachineOffering::pricePerCpu)
                .thenComparing(offering -> machinesInZone.getOrDefault(offering.zone(), 0))
                .thenComparing(offering -> offering.type().name())
                .thenComparing(MachineOffering::zone));
        return offerings;
    }

    /** Adds the room of all machines that are up or booting, unless it is too little for any task. */
    private void addMachines(BinPacking packing) {
        double smallest = Double.MAX_VALUE;
        for (JobRecord job : clusterState.jobs()) {
            if (job.waitingTasks() > 0 || job.isReserved()) {
                smallest = Math.min(smallest, job.request().cpus());
            }
        }
        for (MachineRecord machine : clusterState.machines()) {
            MachineType type = constraints.machineTypes().byName().get(machine.type());
            if (type != null && machine.lifecycle() == MachineLifecycle.ACTIVE) {
                ClusterState.ResourceUsage used = clusterState.usageOn(machine.name());
                if (used.cpus + smallest <= type.cpus() + EPSILON) {
                    packing.add(new MachineOffering(type, machine.zone(), machine.spot()), used);
                }
            }
        }
    }

    private void layOutJobs(BinPacking packing, Instant now) {
        JobRequest sample = null;
        double reservedUse = 0;
        QuotaHeadroom headroom = new QuotaHeadroom(clusterState, quotas);
        for (JobRecord job : byNeed()) {
            JobRequest request = job.request();
            if (job.isReserved() && !job.isCancelled()) {
                sample = request;
                reservedUse += job.unfinishedTasks() * request.cpus();
            }
            int tasks = headroom.admit(job, job.waitingTasks());
            if (tasks > 0) {
                packing.pack(request, tasks);
            }
        }
        if (sample != null) {
            int spare = (int) Math.ceil(spareRoom.requiredCpus(reservedUse, now) / sample.cpus());
            packing.pack(sample, spare);
        }
    }

    /** Urgent work first, then small jobs: one huge array must not use up the machines that one layout rents. */
    private List<JobRecord> byNeed() {
        List<JobRecord> jobs = new ArrayList<>(clusterState.jobs());
        jobs.sort(Comparator.<JobRecord, Priority>comparing(job -> job.request().priority())
                .thenComparingInt(JobRecord::waitingTasks));
        return jobs;
    }

    /** Marks idle machines as leaving, and machines that never came up as lost. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        Instant now = context.now();
        if (proposedAt.plus(PLAN_EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        double reservedUse = 0;
        double waiting = 0;
        QuotaHeadroom headroom = new QuotaHeadroom(clusterState, quotas);
        for (JobRecord job : clusterState.jobs()) {
            JobRequest request = job.request();
            reservedUse += job.isReserved() ? job.unfinishedTasks() * request.cpus() : 0;
            waiting += headroom.admit(job, job.waitingTasks()) * request.cpus();
        }
        double spare = 0;
        for (MachineRecord machine : clusterState.machines()) {
            spare += machine.isSchedulable() ? constraints.freeCpus(machine, transaction) : 0;
        }
        reduction.plan(transaction, spare, waiting, spareRoom.requiredCpus(reservedUse, now), now);
    }

    /** Machines to give back to the cloud now. */
    public List<String> machinesToRelease() {
        List<String> names = new ArrayList<>();
        for (MachineRecord machine : clusterState.machines()) {
            // A placement recorded before the machine was marked has to be known here before it counts as empty.
            boolean known = clusterState.watchedRevision() >= clusterState.machineVersion(machine.name());
            if (machine.lifecycle() == MachineLifecycle.LOST
                    || machine.lifecycle() == MachineLifecycle.DRAINING
                            && known
                            && clusterState.usageOn(machine.name()).tasks == 0) {
                names.add(machine.name());
            }
        }
        return names;
    }
}
