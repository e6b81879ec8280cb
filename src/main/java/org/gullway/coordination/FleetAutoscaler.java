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
    private static final int MOST_TASKS_LAID_OUT = 20_000;
    /** Sizing looks at the whole fleet; machines take far longer to come up. */
    private static final Duration PLAN_EVERY = Duration.ofMillis(500);

    private static final int KEPT_MACHINES = 4;
    private static final Duration BURST_MEMORY = Duration.ofMinutes(1);
    private static final Duration BURST_HALF_LIFE = Duration.ofSeconds(90);
    private static final Duration NO_CAPACITY_PAUSE = Duration.ofSeconds(10);

    /** What can be set about the size of the fleet. */
    public record Policy(double spareShare, Duration idleReturn, int bootPatience) {}

    /** Something to rent. */
    public record Rental(String type, String zone, boolean spot, int count) {}

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
            if (cpus + 1e-6 < job.cpus()
                    || cards + 1e-6 < job.cards()
                    || memoryGb + 1e-6 < job.memoryGb()
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
    private final PlacementConstraints placing;
    private final Policy policy;
    private Instant plannedAt = Instant.MIN;
    private Instant proposedAt = Instant.MIN;
    private final Map<Offering, Instant> exhausted = new HashMap<>();
    private final Map<String, Instant> idleSince = new HashMap<>();
    /** Urgent jobs that were counted for the size of a burst already. */
    private final Set<String> counted = new HashSet<>();
    /** Processors of a large urgent job of late: it may come again at any moment, all at once. */
    private double burst;

    private double leastExcess;
    private double toDrain;
    private Instant excessSince;
    private Instant burstAt = Instant.MIN;

    public FleetAutoscaler(ClusterView view, PlacementConstraints placing, Policy policy) {
        this.view = view;
        this.placing = placing;
        this.policy = policy;
    }

    private static boolean suits(Offering offering, JobRequest job) {
        return (!offering.spot() || job.spot())
                && offering.type().allowedFor(job)
                && offering.type().fits(job)
                && (job.zone() == null || job.zone().equals(offering.zone()));
    }

    public void noCapacity(Rental rental, Instant now) {
        offering(rental).ifPresent(o -> exhausted.put(o, now.plus(NO_CAPACITY_PAUSE)));
    }

    private Optional<Offering> offering(Rental rental) {
        MachineType type = placing.types().get(rental.type());
        return type == null ? Optional.empty() : Optional.of(new Offering(type, rental.zone(), rental.spot()));
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
                .thenComparing(o -> o.type().name())
                .thenComparing(Offering::zone));
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
        return burstAt.equals(Instant.MIN)
                ? 0
                : Math.pow(0.5, Duration.between(burstAt, now).toMillis() / (double) BURST_HALF_LIFE.toMillis());
    }

    /** What to rent now, each at most as many as one request may ask for. */
    public List<Rental> rentals(Instant now) {
        if (plannedAt.plus(PLAN_EVERY).isAfter(now)) {
            return List.of();
        }
        plannedAt = now;
        List<Slot> slots = new ArrayList<>();
        double smallest = Double.MAX_VALUE;
        for (JobRecord job : view.jobs()) {
            smallest = job.waiting() > 0 || job.reserved()
                    ? Math.min(smallest, job.request().cpus())
                    : smallest;
        }
        for (MachineRecord machine : view.machines()) {
            MachineType type = placing.types().get(machine.type());
            if (type != null && machine.fate() == Disposition.STAYS) {
                ClusterView.Room used = view.usedOn(machine.name());
                if (used.cpus + smallest <= type.cpus() + 1e-6) {
                    slots.add(new Slot(
                            new Offering(type, machine.zone(), machine.spot()),
                            type.cpus() - used.cpus,
                            type.cards() - used.cards,
                            type.memoryGb() - used.memoryGb));
                }
            }
        }
        List<Offering> offerings = offerings(now);
        Map<Offering, Integer> counts = new LinkedHashMap<>();
        List<Slot> rented = new ArrayList<>();
        int laidOut = 0;
        JobRequest sample = null;
        double reservedUse = 0;
        Allowance allowance = new Allowance();
        for (JobRecord job : byNeed()) {
            JobRequest request = job.request();
            if (job.reserved() && !job.cancelled()) {
                sample = request;
                reservedUse += job.unfinished() * request.cpus();
            }
            int tasks = allowance.take(job, Math.min(job.waiting(), MOST_TASKS_LAID_OUT - laidOut));
            if (tasks > 0) {
                laidOut += layOut(request, tasks, slots, rented, offerings);
            }
        }
        if (sample != null) {
            int spare = (int) Math.ceil(spareWanted(reservedUse, now) / sample.cpus());
            layOut(sample, Math.min(spare, MOST_TASKS_LAID_OUT - laidOut), slots, rented, offerings);
        }
        rented.forEach(slot -> counts.merge(slot.offering, 1, Integer::sum));
        List<Rental> rentals = new ArrayList<>();
        counts.forEach((o, n) -> {
            for (int left = n; left > 0; left -= CloudMessages.MOST_RENTED_AT_ONCE) {
                rentals.add(new Rental(
                        o.type().name(), o.zone(), o.spot(), Math.min(left, CloudMessages.MOST_RENTED_AT_ONCE)));
            }
        });
        return rentals;
    }

    /** Urgent work first, then small jobs: one huge array must not use up what one look lays out. */
    private List<JobRecord> byNeed() {
        List<JobRecord> jobs = new ArrayList<>(view.jobs());
        jobs.sort(Comparator.<JobRecord, Rank>comparing(job -> job.request().rank())
                .thenComparingInt(JobRecord::waiting));
        return jobs;
    }

    /** What may still be placed: within a job's share of its team's limit, and what of the limit no share holds. */
    private final class Allowance {
        private final Map<String, Double> byShare = new HashMap<>();
        private final Map<String, Double> byTeam = new HashMap<>();

        Allowance() {
            placing.teams()
                    .forEach(team -> byTeam.put(
                            team.name(),
                            Math.max(
                                    0,
                                    team.cpusLimit()
                                            - view.shares().values().stream()
                                                    .mapToDouble(share -> share.of(team.name())
                                                            .cpus())
                                                    .sum())));
        }

        /** Takes what it can of so many tasks. */
        int take(JobRecord job, int tasks) {
            JobRequest request = job.request();
            String share = Keys.shareOf(job);
            String key = share + '\n' + request.team();
            double held = byShare.computeIfAbsent(
                    key,
                    k -> Math.max(
                            0,
                            view.shares()
                                            .getOrDefault(share, AllotmentRecord.EMPTY)
                                            .of(request.team())
                                            .cpus()
                                    - view.usedOf(share, request.team()).cpus));
            double open = byTeam.getOrDefault(request.team(), 0.0);
            int taken = (int) Math.min(tasks, (held + open) / request.cpus() + 1e-6);
            double cpus = taken * request.cpus();
            byShare.put(key, Math.max(0, held - cpus));
            byTeam.put(request.team(), open - Math.max(0, cpus - held));
            return taken;
        }
    }

    private static Slot empty(Offering offering) {
        return new Slot(
                offering,
                offering.type().cpus(),
                offering.type().cards(),
                offering.type().memoryGb());
    }

    /** Lays out up to so many tasks and returns how many found a place; slots that become full are dropped. */
    private static int layOut(
            JobRequest job, int tasks, List<Slot> slots, List<Slot> rented, List<Offering> offerings) {
        int laid = 0;
        for (List<Slot> there : List.of(slots, rented)) {
            for (int i = 0; i < there.size() && laid < tasks; i++) {
                while (laid < tasks && there.get(i).take(job)) {
                    laid++;
                }
            }
        }
        if (laid > 0) {
            slots.removeIf(slot -> slot.cpus <= 1e-6);
        }
        for (Offering offering : offerings) {
            if (laid < tasks && suits(offering, job)) {
                while (laid < tasks) {
                    Slot slot = empty(offering);
                    while (laid < tasks && slot.take(job)) {
                        laid++;
                    }
                    rented.add(slot);
                }
            }
        }
        return laid;
    }

    /** Marks idle machines as leaving, and machines that never came up as lost. */
    public void propose(Transaction draft, Instant now, Instant timeOfDay) {
        if (proposedAt.plus(PLAN_EVERY).isAfter(now)) {
            return;
        }
        proposedAt = now;
        idleSince.keySet().removeIf(name -> view.machine(name) == null || view.usedOn(name).tasks > 0);
        double spare = 0;
        double reservedUse = 0;
        double waiting = 0;
        Allowance allowance = new Allowance();
        for (JobRecord job : view.jobs()) {
            JobRequest request = job.request();
            reservedUse += job.reserved() ? job.unfinished() * request.cpus() : 0;
            waiting += allowance.take(job, job.waiting()) * request.cpus();
        }
        for (MachineRecord machine : view.machines()) {
            spare += machine.takesTasks() ? placing.freeCpus(machine, draft) : 0;
        }
        double wanted = waiting + spareWanted(reservedUse, now);
        noteExcess(spare - wanted, now);
        for (MachineRecord machine : dearestFirst()) {
            MachineType type = placing.types().get(machine.type());
            if (machine.fate() != Disposition.STAYS || !draft.canPutMachine(machine.name())) {
                continue;
            }
            if (!machine.up()) {
                if (machine.rented()
                        .plus(type.boot().multipliedBy(policy.bootPatience()))
                        .isBefore(timeOfDay)) {
                    draft.putMachine(draft.machine(machine.name()).meant(Disposition.LOST));
                }
                continue;
            }
            double free = placing.freeCpus(machine, draft);
            boolean empty = view.usedOn(machine.name()).tasks == 0;
            Instant since = empty ? idleSince.computeIfAbsent(machine.name(), m -> now) : now;
            if (empty
                            && waiting == 0
                            && spare - type.cpus() >= wanted
                            && since.plus(policy.idleReturn()).isBefore(now)
                    || free > 0 && type.cpus() <= Math.min(toDrain, spare - wanted)) {
                draft.putMachine(draft.machine(machine.name()).meant(Disposition.LEAVING));
                spare -= free;
                toDrain -= type.cpus();
            }
        }
    }

    /**
     * Processors that were not needed all through the last while are drained. In a large fleet machines are seldom
     * empty, so those beyond the need take no more tasks and are returned when their last one ends; no work is lost.
     */
    private void noteExcess(double excess, Instant now) {
        if (excessSince == null) {
            excessSince = now;
            leastExcess = excess;
        }
        leastExcess = Math.min(leastExcess, excess);
        if (!excessSince.plus(policy.idleReturn()).isAfter(now)) {
            // Room lies in fragments: what a few large machines hold is kept, which matters to small fleets alone.
            double largest = placing.types().values().stream()
                    .mapToDouble(MachineType::cpus)
                    .max()
                    .orElse(0);
            toDrain = leastExcess - KEPT_MACHINES * largest;
            excessSince = null;
        }
    }

    /** Machines of one group together: however many are marked, its record changes once. */
    private List<MachineRecord> dearestFirst() {
        Map<String, Double> busy = new HashMap<>();
        for (GroupRecord group : view.groups()) {
            double used = 0;
            double cpus = 0;
            for (MachineRecord machine : group.machines()) {
                MachineType type = placing.types().get(machine.type());
                used += view.usedOn(machine.name()).cpus;
                cpus += type == null ? 0 : type.cpus();
            }
            busy.put(group.id(), used / Math.max(1, cpus));
        }
        List<MachineRecord> machines = new ArrayList<>(view.machines());
        machines.removeIf(machine -> !placing.types().containsKey(machine.type()));
        machines.sort(Comparator.<MachineRecord>comparingDouble(
                        machine -> -new Offering(placing.types().get(machine.type()), machine.zone(), machine.spot())
                                .pricePerCpu())
                .thenComparingDouble(machine -> busy.getOrDefault(view.groupOf(machine.name()), 0.0))
                .thenComparing(machine -> view.groupOf(machine.name()))
                .thenComparingDouble(machine -> view.usedOn(machine.name()).cpus));
        return machines;
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
