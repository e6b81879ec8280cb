package org.gullway.coordination.scaling;

import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** A machine offering of the cloud provider: a machine type in a zone, as a spot or an on-demand machine. */
record MachineOffering(MachineType type, String zone, boolean spot) {
    double pricePerCpu() {
        return (spot ? type.spotPrice() : type.price()) / type.cpus();
    }

    /** Whether the job's tasks may run on a machine of this offering and one of them fits on an empty machine. */
    boolean isCompatible(JobRequest job) {
        return (!spot || job.spotAllowed())
                && type.isAllowedFor(job)
                && type.canHostTaskOf(job)
                && (job.zone() == null || job.zone().equals(zone));
    }
}
