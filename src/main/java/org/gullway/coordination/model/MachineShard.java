package org.gullway.coordination.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Machines that one controller commands together. A group is one record, so that claiming or handing over many
 * machines changes few keys.
 *
 * @param controller incarnation of the controller that commands the machines
 * @param epoch epoch at which it took them over; commands of earlier controllers are fenced once a worker has
 *     confirmed this epoch
 */
public record MachineShard(String id, Incarnation controller, long fencingToken, List<MachineRecord> machines)
        implements StoreRecord {
    /** Small enough that a change of one machine costs little, large enough that a third of a fleet is few groups. */
    public static final int MAX_MACHINES = 16;

    /** Bound for one machine's part of the record. */
    private static final int MACHINE_BYTES = 120;

    @Override
    public int maxEncodedBytes() {
        return SMALL_RECORD_BYTES + machines.size() * MACHINE_BYTES;
    }

    /** This group with the machine added, or replaced if it has one of that name. */
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
        return new MachineShard(id, controller, fencingToken, List.copyOf(next));
    }

    /** This group without the machine of that name. */
    public MachineShard without(String name) {
        return new MachineShard(
                id,
                controller,
                fencingToken,
                machines.stream().filter(m -> !m.name().equals(name)).toList());
    }

    /** This group and its machines under another controller, which rules out commands of earlier epochs. */
    public MachineShard claimedBy(Incarnation by, long newFencingToken) {
        return new MachineShard(
                id,
                by,
                newFencingToken,
                machines.stream().map(m -> m.claimedBy(by, newFencingToken)).toList());
    }
}
