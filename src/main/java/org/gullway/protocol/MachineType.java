package org.gullway.protocol;

import java.time.Duration;
import java.util.List;

/** A type of machine that the cloud provider offers. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double localDiskGb,
        double imagePullGbPerSecond,
        double price,
        double spotPrice,
        Duration bootTime,
        List<String> zones) {
    /** Whether an empty machine of this type has enough CPUs, GPUs and memory for one task of the job. */
    public boolean canHostTaskOf(JobRequest job) {
        return job.cpus() <= cpus && job.gpus() <= gpus && job.memoryGb() <= memoryGb;
    }

    public boolean isAllowedFor(JobRequest job) {
        return job.machineTypes() == null || job.machineTypes().contains(name);
    }
}
