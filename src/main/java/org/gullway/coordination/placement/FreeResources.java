package org.gullway.coordination.placement;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.model.ResourceUsage;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MessageLimits;

/**
 * Mutable count of what is free on one machine. It is the one rule that decides whether a task fits on a machine, for
 * placements as well as for simulated starts and stops and for planned machines.
 *
 * <p>Besides CPUs, GPUs and memory, the number of attempts on a machine is limited: the heartbeats of its agent list
 * all of them, and the protocol limits the size of a heartbeat.
 */
public final class FreeResources {
    private double cpus;
    private double gpus;
    private double memoryGb;
    private int attempts;

    private FreeResources(double cpus, double gpus, double memoryGb, int attempts) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
        this.attempts = attempts;
    }

    /** Returns what is free on a machine without tasks. */
    public static FreeResources ofEmpty(MachineType type) {
        return new FreeResources(type.cpus(), type.gpus(), type.memoryGb(), MessageLimits.MAX_PLACED_ATTEMPTS);
    }

    /** Returns what is free on a machine with this usage. */
    public static FreeResources of(MachineType type, ResourceUsage used) {
        return new FreeResources(
                type.cpus() - used.cpus,
                type.gpus() - used.gpus,
                type.memoryGb() - used.memoryGb,
                MessageLimits.MAX_PLACED_ATTEMPTS - used.tasks);
    }

    /** Returns whether one more task of the job fits. */
    public boolean fits(JobRequest job) {
        return attempts > 0
                && job.cpus() <= cpus + EPSILON
                && job.gpus() <= gpus + EPSILON
                && job.memoryGb() <= memoryGb + EPSILON;
    }

    /** Returns how many more tasks of the job fit. */
    public int fittingTasks(JobRequest job) {
        int fitting = Math.max(0, attempts);
        fitting = Math.min(fitting, fittingTasks(cpus, job.cpus()));
        fitting = Math.min(fitting, fittingTasks(gpus, job.gpus()));
        return Math.min(fitting, fittingTasks(memoryGb, job.memoryGb()));
    }

    private static int fittingTasks(double free, double perTask) {
        return perTask <= 0 ? Integer.MAX_VALUE : (int) Math.max(0, (free + EPSILON) / perTask);
    }

    /** Adds the resources of a task that ends. */
    public void release(JobRequest job) {
        reserve(job, -1);
    }

    /** Subtracts the resources of tasks that are to start. */
    public void reserve(JobRequest job, int tasks) {
        cpus -= tasks * job.cpus();
        gpus -= tasks * job.gpus();
        memoryGb -= tasks * job.memoryGb();
        attempts -= tasks;
    }

    /** Returns the CPUs that tasks can use: none if no further task fits, however small it is. */
    public double usableCpus() {
        return attempts > 0 ? cpus : 0;
    }

    /** Returns a copy, which can be changed independently. */
    public FreeResources copy() {
        return new FreeResources(cpus, gpus, memoryGb, attempts);
    }
}
