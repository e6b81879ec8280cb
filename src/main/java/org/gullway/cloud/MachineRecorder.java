package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.failover.ShardAssignment;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;

/**
 * Updates the machine records from the inventory: adds provisioned machines, declares failed machines lost, and removes
 * released machines.
 */
final class MachineRecorder implements PlanningStep {
    /**
     * Minimum time between removals. Removals are batched because machines of the same shard are removed by a single
     * change.
     */
    private static final Duration REMOVAL_INTERVAL = Duration.ofMillis(500);

    private final ClusterState clusterState;
    private final CloudInventory inventory;
    private final Incarnation self;
    private int assignmentCount;
    private Instant removedAt = Instant.MIN;

    MachineRecorder(ClusterState clusterState, CloudInventory inventory, Incarnation self) {
        this.clusterState = clusterState;
        this.inventory = inventory;
        this.self = self;
    }

    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        addProvisionedMachines(transaction);
        declareFailedMachinesLost(transaction);
        removeReleasedMachines(transaction, context.now());
    }

    private void addProvisionedMachines(Transaction transaction) {
        inventory.removeRecorded();
        Map<String, UnrecordedMachine> unrecorded = inventory.unrecorded();
        if (unrecorded.isEmpty()) {
            return;
        }
        ShardAssignment assignment = new ShardAssignment(
                clusterState, transaction, Long.toString(self.number(), Character.MAX_RADIX) + "-" + ++assignmentCount);
        for (Map.Entry<String, UnrecordedMachine> entry : unrecorded.entrySet()) {
            UnrecordedMachine machine = entry.getValue();
            Instant provisionedAt = machine.provisionedAtOr(transaction.wallClockTime());
            if (!assignment.assign(MachineRecord.booting(
                    entry.getKey(), machine.type(), machine.zone(), machine.spot(), provisionedAt, self, Count.ZERO))) {
                return;
            }
        }
    }

    private void declareFailedMachinesLost(Transaction transaction) {
        for (String name : inventory.failed()) {
            MachineRecord machine = transaction.machine(name);
            if (machine != null && machine.lifecycle() != MachineLifecycle.LOST && transaction.canPutMachine(name)) {
                transaction.putMachine(machine.withLifecycle(MachineLifecycle.LOST));
            }
        }
    }

    private void removeReleasedMachines(Transaction transaction, Instant now) {
        if (removedAt.plus(REMOVAL_INTERVAL).isAfter(now)) {
            return;
        }
        for (String name : inventory.released()) {
            if (transaction.machine(name) != null && transaction.canPutMachine(name)) {
                transaction.removeMachine(name);
                removedAt = now;
            }
        }
    }
}
