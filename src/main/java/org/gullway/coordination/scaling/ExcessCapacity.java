package org.gullway.coordination.scaling;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.MachineType;

/** Measures, one time window after the other, how many processors were in excess during the whole window. */
final class ExcessCapacity {
    /**
     * Free resources are fragmented over the machines, so as much as a few of the largest ones have is never drained;
     * it matters to small fleets only.
     */
    private static final int KEPT_MACHINES = 4;

    private final MachineTypeCatalog machineTypes;
    private final Duration window;
    private double leastExcess;
    /** When the present window began; null between two windows. */
    private Instant windowStart;

    private double cpusToDrain;

    ExcessCapacity(MachineTypeCatalog machineTypes, Duration window) {
        this.machineTypes = machineTypes;
        this.window = window;
    }

    /** Takes note of the processors in excess now. */
    void observe(double excess, Instant now) {
        if (windowStart == null) {
            windowStart = now;
            leastExcess = excess;
        }
        leastExcess = Math.min(leastExcess, excess);
        if (!windowStart.plus(window).isAfter(now)) {
            cpusToDrain = leastExcess - KEPT_MACHINES * largestMachineCpus();
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

    /** Processors that were in excess during the whole last window, less those drained since. */
    double cpusToDrain() {
        return cpusToDrain;
    }

    /** Takes note that a machine is drained. */
    void onDrained(double cpus) {
        cpusToDrain -= cpus;
    }
}
