package org.gullway.api;

import java.time.Instant;
import java.util.List;
import java.util.random.RandomGenerator;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;

/** Decides which submitted jobs are accepted, and makes the first record of those that are. */
public final class JobAdmission {
    private final MachineTypeCatalog machineTypes;
    private final JobFeasibility feasibility;
    private final RandomGenerator random;

    /** Decides by the machine types and the quotas known; draws the owner of a best-effort job at random. */
    public JobAdmission(MachineTypeCatalog machineTypes, JobFeasibility feasibility, RandomGenerator random) {
        this.machineTypes = machineTypes;
        this.feasibility = feasibility;
        this.random = random;
    }

    /** Whether the machine types are known, without which nothing can be decided. */
    boolean isReady() {
        return !machineTypes.isEmpty();
    }

    /** Whether the job could ever run. */
    boolean isFeasible(JobRequest request) {
        return feasibility.isFeasible(request);
    }

    /**
     * The first record of a job. A best-effort job gets an owner at random; a reserved one belongs to whichever
     * controller is the leader.
     */
    JobRecord newRecord(JobRequest request, List<String> members, Instant timeOfDay) {
        String owner = JobRecord.isReserved(request) ? null : members.get(random.nextInt(members.size()));
        return JobRecord.accepted(request, owner, timeOfDay);
    }

    /** The request with only those allowed machine types that exist, so that its record stays small. */
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
