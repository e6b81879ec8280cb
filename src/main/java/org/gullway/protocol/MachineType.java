package org.gullway.protocol;

import java.time.Duration;
import java.util.List;

/** A kind of machine that the cloud rents out. */
public record MachineType(
        String name,
        double cpus,
        double cards,
        double memoryGb,
        double cacheGb,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        Duration boot,
        List<String> zones) {
    public boolean fits(JobRequest job) {
        return job.cpus() <= cpus && job.cards() <= cards && job.memoryGb() <= memoryGb;
    }

    public boolean allowedFor(JobRequest job) {
        return job.types() == null || job.types().contains(name);
    }
}
