package org.gullway.coordination.model;

import org.gullway.protocol.JobRequest;

/** A mutable sum of the resources that tasks use. */
public final class ResourceUsage {
    public double cpus;
    public double gpus;
    public double memoryGb;
    public int tasks;

    /** The sum of this usage and a delta, for reading only: this usage itself if the delta is zero. */
    ResourceUsage plus(ResourceUsage delta) {
        if (delta.tasks == 0 && delta.cpus == 0 && delta.gpus == 0 && delta.memoryGb == 0) {
            return this;
        }
        ResourceUsage sum = new ResourceUsage();
        sum.cpus = cpus + delta.cpus;
        sum.gpus = gpus + delta.gpus;
        sum.memoryGb = memoryGb + delta.memoryGb;
        sum.tasks = tasks + delta.tasks;
        return sum;
    }

    /**
     * Adds or subtracts one task in a sum of differences. The sum may be negative, and it need not be zero when as many
     * tasks were added as subtracted, since tasks differ in size.
     */
    void addToDelta(JobRequest job, int sign) {
        cpus += sign * job.cpus();
        gpus += sign * job.gpus();
        memoryGb += sign * job.memoryGb();
        tasks += sign;
    }

    /** Adds or subtracts one task in a total. */
    void addToTotal(JobRequest job, int sign) {
        addToDelta(job, sign);
        if (tasks == 0) {
            // Sums of floating-point numbers drift; without tasks the usage is exactly zero.
            cpus = 0;
            gpus = 0;
            memoryGb = 0;
        }
    }
}
