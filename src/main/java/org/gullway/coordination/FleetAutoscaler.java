package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gullway.coordination.MachineRecord.Disposition;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Rank;

/**
 * The leader's sizing of the fleet. All waiting tasks are laid out on the free room of machines that are up or
 * booting; what finds no room there decides what to rent, at the lowest price for its processors. Machines that have
 * been idle for long, beyond the room kept for urgent work, are returned.
 */
public final class FleetAutoscaler {
    /** Sizing looks at the whole fleet; machines take far longer to come up. */
    private static final Duration PLAN_EVERY = Duration.ofMillis(500);

    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(10);
    private static final double EPSILON = 1e-6;

    /** What can be set about the size of the fleet. */
    public record Policy(double spareShare, Duration idleReturn, int bootPatience) {}

    /** Something to rent. */
    public record Rental(String type, String zone, boolean spot, int count) {}

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final SpareRoom spareRoom;
    private final FleetReduction reduction;
    private Instant plannedAt = Instant.MIN;
    private Instant proposedAt = Instant.MIN;
    /** Kinds of which the cloud had none, and until when they are not asked for. */
    private final Map<Offering, Instant> exhausted = new HashMap<>();

    public FleetAutoscaler(ClusterView view, PlacementConstraints placing, Policy policy) {
        this.view = view;
        this.placing = placing;
        this.spareRoom = new SpareRoom(view, policy.spareShare());
        this.reduction = new FleetReduction(view, placing, policy);
    }

    /** The cloud had fewer machines than were asked for. */
    public void noCapacity(Rental rental, Instant now) {
        offering(rental).ifPresent(offering -> exhausted.put(offering, now.plus(NO_CAPACITY_PAUSE)));
    }

    private Optional<Offering> offering(Rental rental) {
        MachineType type = placing.types().get(rental.type());
        return type == null ? Optional.empty() : Optional.of(new Offering(type, rental.zone(), rental.spot()));
    }

    /** What to rent now, each at most as many as one request may ask for. */
    public List<Rental> rentals(Instant now) {
        if (plannedAt.plus(PLAN_EVERY).isAfter(now)) {
            return List.of();
        }
        plannedAt = now;
        TaskLayout layout = new TaskLayout(offerings(now));
        addMachines(layout);
        layOutJobs(layout, now);
        List<Rental> rentals = new ArrayList<>();
        layout.toRent().forEach((offering, count) -> {
            for (int left = count; left > 0; left -= CloudMessages.MOST_RENTED_AT_ONCE) {
                rentals.add(new Rental(
                        offering.type().name(),
                        offering.zone(),
                        offering.spot(),
                        Math.min(left, CloudMessages.MOST_RENTED_AT_ONCE)));
            }
        });
        return rentals;
    }

    /** What can be rented, the cheapest first, and of equal ones that of the zone with fewest machines. */
    private List<Offering> offerings(Instant now) {
        exhausted.values().removeIf(until -> !now.isBefore(until));
        List<Offering> offerings = new ArrayList<>();
        for (MachineType type : placing.types().values()) {
            for (String zone : type.zones()) {
                offerings.add(new Offering(type, zone, true));
                offerings.add(new Offering(type, zone, false));
            }
        }
        offerings.removeIf(exhausted::containsKey);
        Map<String, Integer> machinesInZone = new HashMap<>();
        for (MachineRecord machine : view.machines()) {
            machinesInZone.merge(machine.zone(), 1, Integer::sum);
        }
        offerings.sort(Comparator.comparingDouble(Offering::pricePerCpu)
                .thenComparing(offering -> machinesInZone.getOrDefault(offering.zone(), 0))
                .thenComparing(offering -> offering.type().name())
                .thenComparing(Offering::zone));
        return offerings;
    }

    /** Adds the room of all machines that are up or booting, unless it is too little for any task. */
    private void addMachines(TaskLayout layout) {
        double smallest = Double.MAX_VALUE;
        for (JobRecord job : view.jobs()) {
            if (job.waiting() > 0 || job.reserved()) {
                smallest = Math.min(smallest, job.request().cpus());
            }
        }
        for (MachineRecord machine : view.machines()) {
            MachineType type = placing.types().get(machine.type());
            if (type != null && machine.fate() == Disposition.STAYS) {
                ClusterView.Room used = view.usedOn(machine.name());
                if (used.cpus + smallest <= type.cpus() + EPSILON) {
                    layout.add(new Offering(type, machine.zone(), machine.spot()), used);
                }
            }
        }
    }

    private void layOutJobs(TaskLayout layout, Instant now) {
        JobRequest sample = null;
        double reservedUse = 0;
        ShareAllowance allowance = new ShareAllowance(view, placing);
        for (JobRecord job : byNeed()) {
            JobRequest request = job.request();
            if (job.reserved() && !job.cancelled()) {
                sample = request;
                reservedUse += job.unfinished() * request.cpus();
            }
            int tasks = allowance.take(job, job.waiting());
            if (tasks > 0) {
                layout.layOut(request, tasks);
            }
        }
        if (sample != null) {
            int spare = (int) Math.ceil(spareRoom.wanted(reservedUse, now) / sample.cpus());
            layout.layOut(sample, spare);
        }
    }

    /** Urgent work first, then small jobs: one huge array must not use up the machines that one layout rents. */
    private List<JobRecord> byNeed() {
        List<JobRecord> jobs = new ArrayList<>(view.jobs());
        jobs.sort(Comparator.<JobRecord, Rank>comparing(job -> job.request().rank())
                .thenComparingInt(JobRecord::waiting));
        return jobs;
    }

    /** Marks idle machines as leaving, and machines that never came up as lost. */
    public void propose(Transaction draft, Instant now) {
        if (proposedAt.plus(PLAN_EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        double reservedUse = 0;
        double waiting = 0;
        ShareAllowance allowance = new ShareAllowance(view, placing);
        for (JobRecord job : view.jobs()) {
            JobRequest request = job.request();
            reservedUse += job.reserved() ? job.unfinished() * request.cpus() : 0;
            waiting += allowance.take(job, job.waiting()) * request.cpus();
        }
        double spare = 0;
        for (MachineRecord machine : view.machines()) {
            spare += machine.takesTasks() ? placing.freeCpus(machine, draft) : 0;
        }
        reduction.propose(draft, spare, waiting, spareRoom.wanted(reservedUse, now), now);
    }

    /** Machines to give back to the cloud now. */
    public List<String> returns() {
        List<String> names = new ArrayList<>();
        for (MachineRecord machine : view.machines()) {
            // A placement recorded before the machine was marked has to be known here before it counts as empty.
            boolean known = view.watched() >= view.machineMark(machine.name());
            if (machine.fate() == Disposition.LOST
                    || machine.fate() == Disposition.LEAVING && known && view.usedOn(machine.name()).tasks == 0) {
                names.add(machine.name());
            }
        }
        return names;
    }
}
