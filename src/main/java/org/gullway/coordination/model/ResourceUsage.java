package org.gullway.coordination.model;

import org.gullway.protocol.JobRequest;

/** Resources in use, or free. */
public final class ResourceUsage {
    public double cpus;
    public double gpus;
    public double memoryGb;
    public int tasks;

    /** Adds to a difference, which may be negative and is not zero when as many tasks came as went. */
    void change(JobRequest job, int sign) {
        cpus += sign * job.cpus();
        gpus += sign * job.gpus();
        memoryGb += sign * job.memoryGb();
        tasks += sign;
    }

    void add(JobRequest job, int sign) {
        change(job, sign);
        if (tasks == 0) {
            // Sums of decimals drift; an empty machine is exactly empty.
            cpus = 0;
            gpus = 0;
            memoryGb = 0;
        }
    }
}
