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
 * Drains machines that are no longer needed, and declares machines lost if they have not booted in time. In a large
 * fleet machines are seldom empty, so excess capacity is drained while tasks are running on it: draining machines get
 * no new tasks and are released when their last task has ended, so that no work is lost.
 */
final class ScaleInPolicy {
    private final ClusterState clusterState;
    private final PlacementConstraints constraints;
    private final ScalingPolicy policy;
    private final ExcessCapacity excessCapacity;
    /** When each machine without tasks was first seen without any, by the machine's name. */
    private final Map<String, Instant> idleSince = new HashMap<>();

    /** A machine that may be drained or declared lost, with the values that {@link #DRAIN_ORDER} compares. */
    private record Candidate(
            MachineRecord machine, double pricePerCpu, double shardUtilization, String shard, double usedCpus) {
        /**
         * Highest price per processor first; at equal price, machines of the least utilized shard first, and in a shard
         * the machine with the fewest used processors first. Machines of one shard are thus next to each other where
         * the price is equal: a shard is stored in one record, which is rewritten once however many of its machines are
         * set to draining.
         */
        private static final Comparator<Candidate> DRAIN_ORDER = Comparator.<Candidate>comparingDouble(
                        candidate -> -candidate.pricePerCpu)
                .thenComparingDouble(Candidate::shardUtilization)
                .thenComparing(Candidate::shard)
                .thenComparingDouble(Candidate::usedCpus);
    }

    ScaleInPolicy(ClusterState clusterState, PlacementConstraints constraints, ScalingPolicy policy) {
        this.clusterState = clusterState;
        this.constraints = constraints;
        this.policy = policy;
        this.excessCapacity = new ExcessCapacity(constraints.machineTypes(), policy.scaleInDelay());
    }

    /** Adds to the transaction the machines that are to be drained or declared lost now. */
    void plan(Transaction transaction, CapacityBalance balance, Instant now) {
        idleSince.keySet().removeIf(name -> clusterState.machine(name) == null || clusterState.usageOn(name).tasks > 0);
        excessCapacity.observe(balance.excess(), now);
        double freeCpus = balance.free();
        for (Candidate candidate : candidates(transaction)) {
            MachineRecord machine = candidate.machine();
            if (!transaction.canPutMachine(machine.name())) {
                continue;
            }
            MachineType type = constraints.typeOf(machine);
            if (!machine.hasBooted()) {
                declareLostIfOverdue(transaction, machine, type);
                continue;
            }
            double machineFreeCpus = constraints.freeCpus(machine, transaction);
            boolean idleAndUnneeded =
                    isIdle(machine, now) && balance.waiting() == 0 && freeCpus - type.cpus() >= balance.required();
            if (idleAndUnneeded
                    || (machineFreeCpus > 0
                            && type.cpus() <= Math.min(excessCapacity.cpusToDrain(), freeCpus - balance.required()))) {
                setLifecycle(transaction, machine, MachineLifecycle.DRAINING);
                freeCpus -= machineFreeCpus;
                excessCapacity.onDrainingStarted(type.cpus());
            }
        }
    }

    /** Whether the machine has had no tasks for longer than the scale-in delay; notes when it first had none. */
    private boolean isIdle(MachineRecord machine, Instant now) {
        if (clusterState.usageOn(machine.name()).tasks > 0) {
            return false;
        }
        Instant since = idleSince.computeIfAbsent(machine.name(), name -> now);
        return since.plus(policy.scaleInDelay()).isBefore(now);
    }

    private void declareLostIfOverdue(Transaction transaction, MachineRecord machine, MachineType type) {
        Duration bootTimeout = type.bootTime().multipliedBy(policy.bootTimeoutFactor());
        if (machine.provisionedAt().plus(bootTimeout).isBefore(transaction.wallClockTime())) {
            setLifecycle(transaction, machine, MachineLifecycle.LOST);
        }
    }

    private static void setLifecycle(Transaction transaction, MachineRecord machine, MachineLifecycle lifecycle) {
        transaction.putMachine(transaction.machine(machine.name()).withLifecycle(lifecycle));
    }

    /**
     * The machines that may be drained or declared lost, in {@link Candidate#DRAIN_ORDER}. Machines are selected before
     * they are sorted, because few are selected while the fleet has no excess capacity.
     */
    private List<Candidate> candidates(Transaction transaction) {
        List<Candidate> candidates = new ArrayList<>();
        Map<String, Double> utilizations = new HashMap<>();
        for (MachineRecord machine : clusterState.machines()) {
            MachineType type = constraints.typeOf(machine);
            if (type == null
                    || machine.lifecycle() != MachineLifecycle.ACTIVE
                    || !isCandidate(transaction, machine, type)) {
                continue;
            }
            String shard = clusterState.shardOf(machine.name());
            candidates.add(new Candidate(
                    machine,
                    new MachineOffering(type, machine.zone(), machine.spot()).pricePerCpu(),
                    utilizations.computeIfAbsent(shard, this::utilization),
                    shard,
                    clusterState.usageOn(machine.name()).cpus));
        }
        candidates.sort(Candidate.DRAIN_ORDER);
        return candidates;
    }

    private boolean isCandidate(Transaction transaction, MachineRecord machine, MachineType type) {
        return !machine.hasBooted()
                || clusterState.usageOn(machine.name()).tasks == 0
                || (type.cpus() <= excessCapacity.cpusToDrain() && constraints.freeCpus(machine, transaction) > 0);
    }

    /** The fraction of the shard's processors that is in use. */
    private double utilization(String shard) {
        double used = 0;
        double cpus = 0;
        for (MachineRecord machine : clusterState.shard(shard).machines()) {
            MachineType type = constraints.typeOf(machine);
            used += clusterState.usageOn(machine.name()).cpus;
            cpus += type == null ? 0 : type.cpus();
        }
        return used / Math.max(1, cpus);
    }
}
