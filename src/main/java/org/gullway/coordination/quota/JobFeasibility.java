package org.gullway.coordination.quota;

import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** Whether a job could ever run: its team is known, and a task fits a machine type and the quota. */
public final class JobFeasibility {
    private static final double EPSILON = 1e-6;

    private final MachineTypeCatalog machineTypes;
    private final TeamQuotas quotas;

    public JobFeasibility(MachineTypeCatalog machineTypes, TeamQuotas quotas) {
        this.machineTypes = machineTypes;
        this.quotas = quotas;
    }

    /** Whether the job could run on an empty fleet of any size. */
    public boolean isFeasible(JobRequest job) {
        Settings.Team team = quotas.team(job.team());
        // An array needs its quota for one task at a time, everything else for all of its tasks.
        int together = job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
        return team != null
                && together * job.cpus() <= team.cpusLimit() + EPSILON
                && together * job.gpus() <= team.gpusLimit() + EPSILON
                && machineTypes.byName().values().stream()
                        .anyMatch(type -> type.fits(job)
                                && type.isAllowedFor(job)
                                && (job.zone() == null || type.zones().contains(job.zone())));
    }
}
