package org.gullway.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.MachineRecord;

/**
 * Goes through a large fleet in parts, each time from where the last part ended: considering every task of all
 * machines at once would take seconds.
 */
final class MachineWindow {
    /** The machines of one part; larger fleets count as large. */
    static final int MAX_MACHINES = 256;

    private int start;

    /** The next part of these machines. */
    List<MachineRecord> next(List<MachineRecord> machines) {
        int size = Math.min(MAX_MACHINES, machines.size());
        List<MachineRecord> part = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            part.add(machines.get((start + i) % machines.size()));
        }
        start = machines.isEmpty() ? 0 : (start + MAX_MACHINES) % machines.size();
        return part;
    }
}
