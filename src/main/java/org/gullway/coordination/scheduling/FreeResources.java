package org.gullway.coordination.scheduling;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** The resources of a machine that no task uses, as tasks are added and removed. */
final class FreeResources {
    private double cpus;
    private double gpus;
    private double memoryGb;

    private FreeResources(double cpus, double gpus, double memoryGb) {
        this.cpus = cpus;
        this.gpus = gpus;
        this.memoryGb = memoryGb;
    }

    /** What neither the records nor the transaction use on the machine. */
    static FreeResources on(MachineRecord machine, MachineType type, Transaction transaction) {
        return new FreeResources(
                type.cpus() - transaction.cpusUsedOn(machine.name()),
                type.gpus() - transaction.gpusUsedOn(machine.name()),
                type.memoryGb() - transaction.memoryUsedOn(machine.name()));
    }

    /** Whether one more task fits. */
    boolean fits(JobRequest job) {
        return job.cpus() <= cpus + EPSILON && job.gpus() <= gpus + EPSILON && job.memoryGb() <= memoryGb + EPSILON;
    }

    /** Adds what a task uses that ends. */
    void release(JobRequest job) {
        cpus += job.cpus();
        gpus += job.gpus();
        memoryGb += job.memoryGb();
    }

    /** Subtracts what a task needs that is to start. */
    void reserve(JobRequest job) {
        cpus -= job.cpus();
        gpus -= job.gpus();
        memoryGb -= job.memoryGb();
    }

    FreeResources copy() {
        return new FreeResources(cpus, gpus, memoryGb);
    }
}
