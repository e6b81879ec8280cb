package org.gullway.coordination.scheduling;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Mutable count of the free resources of one machine, used to simulate starts and stops of tasks. */
final class FreeResources {
    private double cpus;
    private double gpus;
    private double memoryGb;

    private FreeResources(double cpus, double gpus, double memoryGb) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
    }

    /** Returns the resources that are free after the placements in the cluster state and in the transaction. */
    static FreeResources on(MachineRecord machine, MachineType type, Transaction transaction) {
        return new FreeResources(
                type.cpus() - transaction.cpusUsedOn(machine.name()),
                type.gpus() - transaction.gpusUsedOn(machine.name()),
                type.memoryGb() - transaction.memoryUsedOn(machine.name()));
    }

    /** Returns whether one more task of the job fits. */
    boolean fits(JobRequest job) {
        return job.cpus() <= cpus + EPSILON && job.gpus() <= gpus + EPSILON && job.memoryGb() <= memoryGb + EPSILON;
    }

    /** Adds the resources of a task that ends. */
    void release(JobRequest job) {
        cpus += job.cpus();
        gpus += job.gpus();
        memoryGb += job.memoryGb();
    }

    /** Subtracts the resources of a task that is to start. */
    void reserve(JobRequest job) {
        cpus -= job.cpus();
        gpus -= job.gpus();
        memoryGb -= job.memoryGb();
    }

    FreeResources copy() {
        return new FreeResources(cpus, gpus, memoryGb);
    }
}
