package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gullway.coordination.MachineRecord.Fate;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;

/**
 * The leader's sizing of the fleet. All waiting tasks are laid out on the free room of machines that are up or
 * booting; what finds no room there decides what to rent, at the lowest price for its processors. Machines that have
 * been idle for long, beyond the room kept for urgent work, are returned.
 */
public final class FleetPlan {
    private static final int MOST_TASKS_LAID_OUT = 400;
    private static final Duration BURST_MEMORY = Duration.ofMinutes(1);
    private static final Duration BURST_HALF_LIFE = Duration.ofSeconds(90);
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(10);

    /** What can be set about the size of the fleet. */
    public record Policy(double spareShare, Duration idleReturn, int bootPatience) {
    }

    /** Something to rent. */
    public record Rental(String type, String zone, boolean spot, int count) {
    }

    private record Offering(MachineType type, String zone, boolean spot) {
        double pricePerCpu() {
            return (spot ? type.spotPrice() : type.price()) / type.cpus();
        }
    }

    /** Free room of a machine that is there, coming, or to be rented. */
    private static final class Slot {
        private final Offering offering;
        private double cpus;
        private double cards;
        private double memoryGb;

        Slot(Offering offering, double cpus, double cards, double memoryGb) {
            this.offering = offering;
            this.cpus = cpus;
            this.cards = cards;
            this.memoryGb = memoryGb;
        }

        boolean take(JobRequest job) {
            if (cpus + 1e-6 < job.cpus() || cards + 1e-6 < job.cards() || memoryGb + 1e-6 < job.memoryGb()
                    || !suits(offering, job)) {
                return false;
            }
            cpus -= job.cpus();
            cards -= job.cards();
            memoryGb -= job.memoryGb();
            return true;
        }
    }

    private final ClusterView view;
    private final Placing placing;
    private final Policy policy;
    private final Map<Offering, Instant> exhausted = new HashMap<>();
    private final Map<String, Instant> idleSince = new HashMap<>();
    /** Urgent jobs that were counted for the size of a burst already. */
    private final Set<String> counted = new HashSet<>();
    /** Processors of a large urgent job of late: it may come again at any moment, all at once. */
    private double burst;
    private Instant burstAt = Instant.MIN;

    public FleetPlan(ClusterView view, Placing placing, Policy policy) {
        this.view = view;
        this.placing = placing;
        this.policy = policy;
    }

    private static boolean suits(Offering offering, JobRequest job) {
        return (!offering.spot() || job.spot()) && offering.type().allowedFor(job) && offering.type().fits(job)
                && (job.zone() == null || job.zone().equals(offering.zone()));
    }

    public void noCapacity(Rental rental, Instant now) {
        offering(rental).ifPresent(o -> exhausted.put(o, now.plus(NO_CAPACITY_PAUSE)));
    }

    private Optional<Offering> offering(Rental rental) {
        MachineType type = placing.types().get(rental.type());
        return type == null ? Optional.empty()
                : Optional.of(new Offering(type, rental.zone(), rental.spot()));
    }

    private List<Offering> offerings(Instant now) {
        exhausted.values().removeIf(until -> !now.isBefore(until));
        List<Offering> list = new ArrayList<>();
        for (MachineType type : placing.types().values()) {
            for (String zone : type.zones()) {
                list.add(new Offering(type, zone, true));
                list.add(new Offering(type, zone, false));
            }
        }
        list.removeIf(exhausted::containsKey);
        Map<String, Long> inZone = new HashMap<>();
        view.machines().forEach(m -> inZone.merge(m.zone(), 1L, Long::sum));
        list.sort(Comparator.comparingDouble(Offering::pricePerCpu)
                .thenComparing(o -> inZone.getOrDefault(o.zone(), 0L))
                .thenComparing(o -> o.type().name()).thenComparing(Offering::zone));
        return list;
    }

    /** Room to be kept free for urgent work: a share of what it uses, and at least a large job's while such jobs come. */
    private double spareWanted(double urgentUse, Instant now) {
        for (JobRecord job : view.jobs()) {
            if (job.reserved() && counted.add(job.request().id())) {
                double size = job.request().tasks() * job.request().cpus();
                burst = Math.max(burst * fading(now), size);
                burstAt = now;
            }
        }
        counted.removeIf(id -> view.job(id) == null);
        boolean quiet = burstAt.plus(BURST_MEMORY).isBefore(now);
        return Math.max(policy.spareShare() * urgentUse, quiet ? 0 : burst * fading(now));
    }

    private double fading(Instant now) {
        return burstAt.equals(Instant.MIN) ? 0
                : Math.pow(0.5, Duration.between(burstAt, now).toMillis() / (double) BURST_HALF_LIFE.toMillis());
    }

    /** What to rent now. */
    public List<Rental> rentals(Instant now) {
        List<Slot> slots = new ArrayList<>();
        for (MachineRecord machine : view.machines()) {
            MachineType type = placing.types().get(machine.type());
            if (type != null && machine.fate() == Fate.STAYS) {
                ClusterView.Room used = view.usedOn(machine.name());
                slots.add(new Slot(new Offering(type, machine.zone(), machine.spot()),
                        type.cpus() - used.cpus, type.cards() - used.cards, type.memoryGb() - used.memoryGb));
            }
        }
        List<Offering> offerings = offerings(now);
        List<Slot> rented = new ArrayList<>();
        int laidOut = 0;
        JobRequest sample = null;
        double reservedUse = 0;
        Map<String, Double> teamRoom = teamRoom();
        for (JobRecord job : view.jobs()) {
            JobRequest request = job.request();
            if (job.reserved() && !job.cancelled()) {
                sample = request;
                reservedUse += job.unfinished() * request.cpus();
            }
            for (int i = job.waiting(); i > 0 && laidOut < MOST_TASKS_LAID_OUT; i--) {
                double room = teamRoom.getOrDefault(request.team(), 0.0);
                if (room < request.cpus() || !layOut(request, slots, rented, offerings)) {
                    break;
                }
                teamRoom.put(request.team(), room - request.cpus());
                laidOut++;
            }
        }
        if (sample != null) {
            double spare = spareWanted(reservedUse, now);
            for (double laid = 0; laid < spare && laidOut < MOST_TASKS_LAID_OUT; laid += sample.cpus()) {
                if (!layOut(sample, slots, rented, offerings)) {
                    break;
                }
                laidOut++;
            }
        }
        Map<Offering, Integer> counts = new LinkedHashMap<>();
        rented.forEach(slot -> counts.merge(slot.offering, 1, Integer::sum));
        List<Rental> rentals = new ArrayList<>();
        counts.forEach((o, n) -> rentals.add(new Rental(o.type().name(), o.zone(), o.spot(),
                Math.min(n, CloudMessages.MOST_RENTED_AT_ONCE))));
        return rentals;
    }

    /** What each team may still use. */
    private Map<String, Double> teamRoom() {
        Map<String, Double> room = new HashMap<>();
        for (JobRecord job : view.jobs()) {
            String name = job.request().team();
            if (!room.containsKey(name)) {
                Settings.Team team = placing.team(name);
                room.put(name, team == null ? 0 : team.cpusMax() - view.usedBy(name).cpus);
            }
        }
        return room;
    }

    private static Slot empty(Offering offering) {
        return new Slot(offering, offering.type().cpus(), offering.type().cards(), offering.type().memoryGb());
    }

    private boolean layOut(JobRequest job, List<Slot> slots, List<Slot> rented, List<Offering> offerings) {
        for (Slot slot : slots) {
            if (slot.take(job)) {
                return true;
            }
        }
        for (Slot slot : rented) {
            if (slot.take(job)) {
                return true;
            }
        }
        for (Offering offering : offerings) {
            if (suits(offering, job)) {
                Slot slot = empty(offering);
                slot.take(job);
                rented.add(slot);
                return true;
            }
        }
        return false;
    }

    /** Marks idle machines as leaving, and machines that never came up as lost. */
    public void propose(Draft draft, Instant now, Instant timeOfDay) {
        boolean waiting = view.jobs().stream().anyMatch(j -> j.waiting() > 0);
        idleSince.keySet().removeIf(name -> view.machine(name) == null || view.usedOn(name).tasks > 0);
        double spare = 0;
        double reservedUse = 0;
        for (JobRecord job : view.jobs()) {
            reservedUse += job.reserved() ? job.unfinished() * job.request().cpus() : 0;
        }
        for (MachineRecord machine : view.machines()) {
            spare += machine.takesTasks() ? placing.freeCpus(machine, draft) : 0;
        }
        double wanted = spareWanted(reservedUse, now);
        for (MachineRecord machine : dearestFirst()) {
            MachineType type = placing.types().get(machine.type());
            if (type == null || machine.fate() != Fate.STAYS || !draft.hasRoomFor(1)) {
                continue;
            }
            if (!machine.up()) {
                if (machine.rented().plus(type.boot().multipliedBy(policy.bootPatience())).isBefore(timeOfDay)) {
                    draft.put(Keys.machine(machine.name()), machine.meant(Fate.LOST));
                }
                continue;
            }
            if (view.usedOn(machine.name()).tasks > 0) {
                continue;
            }
            Instant since = idleSince.computeIfAbsent(machine.name(), m -> now);
            boolean needed = waiting || spare - type.cpus() < wanted;
            if (!needed && since.plus(policy.idleReturn()).isBefore(now)) {
                draft.put(Keys.machine(machine.name()), machine.meant(Fate.LEAVING));
                spare -= type.cpus();
            }
        }
    }

    private List<MachineRecord> dearestFirst() {
        List<MachineRecord> machines = new ArrayList<>(view.machines());
        machines.removeIf(machine -> !placing.types().containsKey(machine.type()));
        machines.sort(Comparator.comparingDouble(machine -> -new Offering(placing.types().get(machine.type()),
                machine.zone(), machine.spot()).pricePerCpu()));
        return machines;
    }

    /** Machines to give back to the cloud now. */
    public List<String> returns() {
        List<String> names = new ArrayList<>();
        for (MachineRecord machine : view.machines()) {
            // A placement recorded before the machine was marked has to be known here before it counts as empty.
            boolean known = view.watched() >= view.mark(Keys.machine(machine.name()));
            if (machine.fate() == Fate.LOST
                    || machine.fate() == Fate.LEAVING && known && view.usedOn(machine.name()).tasks == 0) {
                names.add(machine.name());
            }
        }
        return names;
    }

    /** Records a machine that the cloud has rented to us. */
    public static void record(Draft draft, String name, Rental rental, Instant timeOfDay) {
        if (draft.machine(name) == null) {
            draft.put(Keys.machine(name),
                    MachineRecord.booting(name, rental.type(), rental.zone(), rental.spot(), timeOfDay));
        }
    }
}
