package org.gullway.api;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Decides which submitted jobs are accepted, and creates the initial records of accepted jobs. */
public final class JobAdmission {
    private final MachineTypeCatalog machineTypes;
    private final JobFeasibility feasibility;
    private final RandomGenerator random;

    /**
     * @param machineTypes the machine types of the cloud provider, empty until they have been fetched
     * @param feasibility decides from machine types and quotas whether a job could ever run
     * @param random selects the owners of best-effort jobs
     */
    public JobAdmission(MachineTypeCatalog machineTypes, JobFeasibility feasibility, RandomGenerator random) {
        this.machineTypes = machineTypes;
        this.feasibility = feasibility;
        this.random = random;
    }

    /** Returns whether the machine types are known; until then no job can be accepted or rejected as infeasible. */
    boolean isReady() {
        return !machineTypes.isEmpty();
    }

    /** Returns whether the job could ever run with the existing machine types and quotas. */
    boolean isFeasible(JobRequest request) {
        return feasibility.isFeasible(request);
    }

    /**
     * Creates the initial record of a job. The owner of a best-effort job is one of the members, selected at random.
     * The record of a reserved job has no owner, because the current leader always schedules it.
     *
     * @param members names of the controllers that are members of the cluster
     */
    JobRecord newRecord(JobRequest request, List<String> members, Instant wallClockTime) {
        String owner = JobRecord.isReserved(request) ? null : members.get(random.nextInt(members.size()));
        return JobRecord.accepted(request, owner, wallClockTime);
    }

    /**
     * Removes unknown machine types from the list of machine types that the request allows, so that the job's record
     * stays small.
     */
    JobRequest withKnownMachineTypes(JobRequest request) {
        if (request.machineTypes() == null) {
            return request;
        }
        List<String> known = machineTypes.byName().values().stream()
                .map(MachineType::name)
                .filter(request.machineTypes()::contains)
                .toList();
        return request.withMachineTypes(known);
    }
}
