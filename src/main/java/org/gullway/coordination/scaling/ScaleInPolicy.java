package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.protocol.MachineType;

/**
 * Marks machines that are not needed any more as leaving, and machines that never came up as lost. In a large fleet
 * machines are seldom empty, so those beyond the need take no more tasks and are returned when their last one ends; no
 * work is lost.
 */
final class ScaleInPolicy {
    /** Room lies in fragments: what a few large machines hold is kept, which matters to small fleets alone. */
    private static final int KEPT_MACHINES = 4;

    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final FleetAutoscaler.ScalingPolicy policy;
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

    ScaleInPolicy(ClusterState clusterState, PlacementConstraints constraints, FleetAutoscaler.ScalingPolicy policy) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.policy = policy;
    }

    /**
     * Marks machines.
     *
     * @param spare free processors of machines that take tasks
     * @param waiting processors of tasks that wait and may be placed
     * @param kept processors to be kept free for urgent work
     */
    void plan(Transaction transaction, double spare, double waiting, double kept, Instant now) {
        idleSince.keySet().removeIf(name -> clusterState.machine(name) == null || clusterState.usageOn(name).tasks > 0);
        double wanted = waiting + kept;
        noteExcess(spare - wanted, now);
        double left = spare;
        for (Candidate candidate : candidates(transaction)) {
            MachineRecord machine = candidate.machine();
            if (!transaction.canPutMachine(machine.name())) {
                continue;
            }
            MachineType type = constraints.machineTypes().byName().get(machine.type());
            if (!machine.isUp()) {
                giveUpIfOverdue(transaction, machine, type);
                continue;
            }
            double free = constraints.freeCpus(machine, transaction);
            boolean idle = isIdle(machine, now) && waiting == 0 && left - type.cpus() >= wanted;
            if (idle || free > 0 && type.cpus() <= Math.min(toDrain, left - wanted)) {
                transaction.putMachine(transaction.machine(machine.name()).withLifecycle(MachineLifecycle.DRAINING));
                left -= free;
                toDrain -= type.cpus();
            }
        }
    }

    private boolean isIdle(MachineRecord machine, Instant now) {
        if (clusterState.usageOn(machine.name()).tasks > 0) {
            return false;
        }
        Instant since = idleSince.computeIfAbsent(machine.name(), name -> now);
        return since.plus(policy.scaleInDelay()).isBefore(now);
    }

    private void giveUpIfOverdue(Transaction transaction, MachineRecord machine, MachineType type) {
        Duration patience = type.bootTime().multipliedBy(policy.bootTimeoutFactor());
        if (machine.provisionedAt().plus(patience).isBefore(transaction.timeOfDay())) {
            transaction.putMachine(transaction.machine(machine.name()).withLifecycle(MachineLifecycle.LOST));
        }
    }

    /** Processors that were not needed all through the last while are drained. */
    private void noteExcess(double excess, Instant now) {
        if (excessSince == null) {
            excessSince = now;
            leastExcess = excess;
        }
        leastExcess = Math.min(leastExcess, excess);
        if (!excessSince.plus(policy.scaleInDelay()).isAfter(now)) {
            double largest = 0;
            for (MachineType type : constraints.machineTypes().byName().values()) {
                largest = Math.max(largest, type.cpus());
            }
            toDrain = leastExcess - KEPT_MACHINES * largest;
            excessSince = null;
        }
    }

    /** Most machines are up and busy in a fleet of the right size: only the others are put in order. */
    private List<Candidate> candidates(Transaction transaction) {
        List<Candidate> candidates = new ArrayList<>();
        Map<String, Double> busy = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            MachineType type = constraints.machineTypes().byName().get(machine.type());
            if (type == null
                    || machine.lifecycle() != MachineLifecycle.ACTIVE
                    || !mayLeave(transaction, machine, type)) {
                continue;
            }
            String group = clusterState.shardOf(machine.name());
            candidates.add(new Candidate(
                    machine,
                    new MachineOffering(type, machine.zone(), machine.spot()).pricePerCpu(),
                    busy.computeIfAbsent(group, this::busyShare),
                    group,
                    clusterState.usageOn(machine.name()).cpus));
        }
        candidates.sort(Candidate.DEAREST_FIRST);
        return candidates;
    }

    private boolean mayLeave(Transaction transaction, MachineRecord machine, MachineType type) {
        return !machine.isUp()
                || clusterState.usageOn(machine.name()).tasks == 0
                || type.cpus() <= toDrain && constraints.freeCpus(machine, transaction) > 0;
    }

    private double busyShare(String group) {
        double used = 0;
        double cpus = 0;
        for (MachineRecord machine : clusterState.shard(group).machines()) {
            MachineType type = constraints.machineTypes().byName().get(machine.type());
            used += clusterState.usageOn(machine.name()).cpus;
            cpus += type == null ? 0 : type.cpus();
        }
        return used / Math.max(1, cpus);
    }
}
