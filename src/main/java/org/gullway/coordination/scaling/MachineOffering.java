package org.gullway.coordination.scaling;

import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** A kind of machine that can be provisioned: its type, its zone, and whether it is a spot machine. */
record MachineOffering(MachineType type, String zone, boolean spot) {
    double pricePerCpu() {
        return (spot ? type.spotPrice() : type.price()) / type.cpus();
    }

    /** Whether tasks of the job may run on such a machine and fit on an empty one. */
    boolean isCompatible(JobRequest job) {
        return (!spot || job.spotAllowed())
                && type.isAllowedFor(job)
                && type.fits(job)
                && (job.zone() == null || job.zone().equals(zone));
    }
}
