package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;

/**
 * Checks whether a job can ever run: its team is known, its tasks fit into the team's quota, and one task fits on some
 * machine type.
 */
public final class JobFeasibility {
    private final MachineTypeCatalog machineTypes;
    private final TeamQuotas quotas;

    public JobFeasibility(MachineTypeCatalog machineTypes, TeamQuotas quotas) {
        this.machineTypes = machineTypes;
        this.quotas = quotas;
    }

    /** Returns whether the job could run if the fleet were empty and arbitrarily large. */
    public boolean isFeasible(JobRequest job) {
        Settings.Team team = quotas.team(job.team());
        return team != null && fitsQuota(job, team) && fitsSomeMachineType(job);
    }

    private static boolean fitsQuota(JobRequest job, Settings.Team team) {
        // An array can run its tasks one at a time; a gang or a service needs quota for all its tasks at the same time.
        int simultaneousTasks = job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
        return simultaneousTasks * job.cpus() <= team.cpusLimit() + EPSILON
                && simultaneousTasks * job.gpus() <= team.gpusLimit() + EPSILON;
    }

    private boolean fitsSomeMachineType(JobRequest job) {
        return machineTypes.byName().values().stream().anyMatch(type -> fits(job, type));
    }

    private static boolean fits(JobRequest job, MachineType type) {
        return type.canHostTaskOf(job)
                && type.isAllowedFor(job)
                && (job.zone() == null || type.zones().contains(job.zone()));
    }
}
