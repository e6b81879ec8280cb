package org.gullway.coordination.model;

import java.util.ArrayList;
import java.util.List;
import org.gullway.protocol.Count;

/**
 * A group of machines that one controller commands. A shard is stored as one record, so that a failover of many
 * machines changes few keys.
 *
 * @param controller incarnation of the controller that commands the machines
 * @param fencingToken token that the controller's commands carry; an agent that has confirmed it refuses commands of
 *     earlier controllers
 */
public record MachineShard(String id, Incarnation controller, Count fencingToken, List<MachineRecord> machines)
        implements StoreRecord {
    /**
     * Small enough that rewriting a shard for one machine is cheap; large enough that the failover of one of three
     * controllers, and so of a third of the fleet, changes few keys in comparison with the number of machines.
     */
    public static final int MAX_MACHINES = 16;

    @Override
    public int maxEncodedBytes() {
        int bytes = NUMBERS_BYTES + controller.maxEncodedBytes();
        for (MachineRecord machine : machines) {
            bytes += machine.maxEncodedBytes();
        }
        return bytes;
    }

    /** The machine of that name, or null if it is not in this shard. */
    MachineRecord machine(String name) {
        for (MachineRecord machine : machines) {
            if (machine.name().equals(name)) {
                return machine;
            }
        }
        return null;
    }

    /** This shard with the machine added, or replaced if the shard contains one of that name. */
    public MachineShard with(MachineRecord machine) {
        List<MachineRecord> next = new ArrayList<>(machines.size() + 1);
        boolean replaced = false;
        for (MachineRecord each : machines) {
            boolean same = each.name().equals(machine.name());
            next.add(same ? machine : each);
            replaced |= same;
        }
        if (!replaced) {
            next.add(machine);
        }
        return withMachines(List.copyOf(next));
    }

    /** This shard without the machine of that name. */
    public MachineShard without(String name) {
        return withMachines(machines.stream()
                .filter(machine -> !machine.name().equals(name))
                .toList());
    }

    private MachineShard withMachines(List<MachineRecord> next) {
        return new MachineShard(id, controller, fencingToken, next);
    }

    /** This shard and its machines under another controller; the new token fences off former controllers. */
    public MachineShard claimedBy(Incarnation newController, FencingToken newFencingToken) {
        return new MachineShard(
                id,
                newController,
                newFencingToken.value(),
                machines.stream()
                        .map(machine -> machine.claimedBy(newController, newFencingToken.value()))
                        .toList());
    }
}
