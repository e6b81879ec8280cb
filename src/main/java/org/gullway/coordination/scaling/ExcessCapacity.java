package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.MachineType;

/** Measures, in consecutive time windows, the number of processors that were in excess throughout a window. */
final class ExcessCapacity {
    /**
     * Excess that is never drained, in machines of the largest type: free resources are fragmented across machines, so
     * some of them may be unusable. This amount matters to small fleets only.
     */
    private static final int RETAINED_MACHINES = 4;

    private final MachineTypeCatalog machineTypes;
    private final Duration window;
    private double leastExcess;
    /** Start of the current window; null between two windows. */
    private Instant windowStart;

    private double cpusToDrain;

    ExcessCapacity(MachineTypeCatalog machineTypes, Duration window) {
        this.machineTypes = machineTypes;
        this.window = window;
    }

    /** Records the processors in excess now; at the end of a window, updates the processors that may be drained. */
    void observe(double excess, Instant now) {
        if (windowStart == null) {
            windowStart = now;
            leastExcess = excess;
        }
        leastExcess = Math.min(leastExcess, excess);
        if (!windowStart.plus(window).isAfter(now)) {
            cpusToDrain = leastExcess - RETAINED_MACHINES * largestMachineCpus();
            windowStart = null;
        }
    }

    private double largestMachineCpus() {
        double largest = 0;
        for (MachineType type : machineTypes.byName().values()) {
            largest = Math.max(largest, type.cpus());
        }
        return largest;
    }

    /** Processors that may be drained: the excess of the last window, less those retained or set to draining since. */
    double cpusToDrain() {
        return cpusToDrain;
    }

    /** Records that a machine with this number of processors was set to draining. */
    void onDrainingStarted(double cpus) {
        cpusToDrain -= cpus;
    }
}
