package org.gullway.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.model.MachineRecord;

/**
 * Sliding window over the machines of a large fleet. Planning over the tasks of all machines at once would take
 * seconds, so each planning run considers only one window, and the next run continues after it.
 */
final class MachineWindow {
    /** The size of the window. A fleet with more machines counts as large. */
    static final int MAX_MACHINES = 256;

    private int start;

    /** Returns the next window of the given machines, wrapping around at the end of the list. */
    List<MachineRecord> next(List<MachineRecord> machines) {
        int size = Math.min(MAX_MACHINES, machines.size());
        List<MachineRecord> window = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            window.add(machines.get((start + i) % machines.size()));
        }
        start = machines.isEmpty() ? 0 : (start + MAX_MACHINES) % machines.size();
        return window;
    }
}
