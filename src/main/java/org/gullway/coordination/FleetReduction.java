package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.MachineRecord.Disposition;
import org.gullway.protocol.MachineType;

/**
 * Marks machines that are not needed any more as leaving, and machines that never came up as lost. In a large fleet
 * machines are seldom empty, so those beyond the need take no more tasks and are returned when their last one ends; no
 * work is lost.
 */
final class FleetReduction {
    /** Room lies in fragments: what a few large machines hold is kept, which matters to small fleets alone. */
    private static final int KEPT_MACHINES = 4;

    private final ClusterView view;
    private final PlacementConstraints placing;
    private final FleetAutoscaler.Policy policy;
    private final Map<String, Instant> idleSince = new HashMap<>();
    /** The least excess of processors since then. */
    private double leastExcess;

    private Instant excessSince;
    /** Processors that were not needed all through the last while, less what has been drained since. */
    private double toDrain;

    /** A machine that may be marked, with what decides the order. */
    private record Candidate(MachineRecord machine, double pricePerCpu, double groupBusy, String group, double used) {
        /** The dearest first; machines of one group together: however many are marked, its record changes once. */
        private static final Comparator<Candidate> DEAREST_FIRST = Comparator.<Candidate>comparingDouble(
                        candidate -> -candidate.pricePerCpu)
                .thenComparingDouble(Candidate::groupBusy)
                .thenComparing(Candidate::group)
                .thenComparingDouble(Candidate::used);
    }

    FleetReduction(ClusterView view, PlacementConstraints placing, FleetAutoscaler.Policy policy) {
        this.view = view;
        this.placing = placing;
        this.policy = policy;
    }

    /**
     * Marks machines.
     *
     * @param spare free processors of machines that take tasks
     * @param waiting processors of tasks that wait and may be placed
     * @param kept processors to be kept free for urgent work
     */
    void propose(Transaction draft, double spare, double waiting, double kept, Instant now) {
        idleSince.keySet().removeIf(name -> view.machine(name) == null || view.usedOn(name).tasks > 0);
        double wanted = waiting + kept;
        noteExcess(spare - wanted, now);
        double left = spare;
        for (Candidate candidate : candidates(draft)) {
            MachineRecord machine = candidate.machine();
            if (!draft.canPutMachine(machine.name())) {
                continue;
            }
            MachineType type = placing.types().get(machine.type());
            if (!machine.up()) {
                giveUpIfOverdue(draft, machine, type);
                continue;
            }
            double free = placing.freeCpus(machine, draft);
            boolean idle = isIdle(machine, now) && waiting == 0 && left - type.cpus() >= wanted;
            if (idle || free > 0 && type.cpus() <= Math.min(toDrain, left - wanted)) {
                draft.putMachine(draft.machine(machine.name()).meant(Disposition.LEAVING));
                left -= free;
                toDrain -= type.cpus();
            }
        }
    }

    private boolean isIdle(MachineRecord machine, Instant now) {
        if (view.usedOn(machine.name()).tasks > 0) {
            return false;
        }
        Instant since = idleSince.computeIfAbsent(machine.name(), name -> now);
        return since.plus(policy.idleReturn()).isBefore(now);
    }

    private void giveUpIfOverdue(Transaction draft, MachineRecord machine, MachineType type) {
        Duration patience = type.boot().multipliedBy(policy.bootPatience());
        if (machine.rented().plus(patience).isBefore(draft.timeOfDay())) {
            draft.putMachine(draft.machine(machine.name()).meant(Disposition.LOST));
        }
    }

    /** Processors that were not needed all through the last while are drained. */
    private void noteExcess(double excess, Instant now) {
        if (excessSince == null) {
            excessSince = now;
            leastExcess = excess;
        }
        leastExcess = Math.min(leastExcess, excess);
        if (!excessSince.plus(policy.idleReturn()).isAfter(now)) {
            double largest = 0;
            for (MachineType type : placing.types().values()) {
                largest = Math.max(largest, type.cpus());
            }
            toDrain = leastExcess - KEPT_MACHINES * largest;
            excessSince = null;
        }
    }

    /** Most machines are up and busy in a fleet of the right size: only the others are put in order. */
    private List<Candidate> candidates(Transaction draft) {
        List<Candidate> candidates = new ArrayList<>();
        Map<String, Double> busy = new HashMap<>();
        for (MachineRecord machine : view.machines()) {
            MachineType type = placing.types().get(machine.type());
            if (type == null || machine.fate() != Disposition.STAYS || !mayLeave(draft, machine, type)) {
                continue;
            }
            String group = view.groupOf(machine.name());
            candidates.add(new Candidate(
                    machine,
                    new Offering(type, machine.zone(), machine.spot()).pricePerCpu(),
                    busy.computeIfAbsent(group, this::busyShare),
                    group,
                    view.usedOn(machine.name()).cpus));
        }
        candidates.sort(Candidate.DEAREST_FIRST);
        return candidates;
    }

    private boolean mayLeave(Transaction draft, MachineRecord machine, MachineType type) {
        return !machine.up()
                || view.usedOn(machine.name()).tasks == 0
                || type.cpus() <= toDrain && placing.freeCpus(machine, draft) > 0;
    }

    private double busyShare(String group) {
        double used = 0;
        double cpus = 0;
        for (MachineRecord machine : view.group(group).machines()) {
            MachineType type = placing.types().get(machine.type());
            used += view.usedOn(machine.name()).cpus;
            cpus += type == null ? 0 : type.cpus();
        }
        return used / Math.max(1, cpus);
    }
}
