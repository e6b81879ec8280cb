package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.Settings;

/**
 * Checks whether a job can ever run: its team is known, the tasks that have to run at the same time fit into the team's
 * quota and into the job's record, and one task fits on some machine type.
 */
public final class JobFeasibility {
    private final MachineTypeCatalog machineTypes;
    private final TeamQuotas quotas;
    private final RecordCapacity recordCapacity;

    public JobFeasibility(MachineTypeCatalog machineTypes, TeamQuotas quotas, RecordCapacity recordCapacity) {
        this.machineTypes = machineTypes;
        this.quotas = quotas;
        this.recordCapacity = recordCapacity;
    }

    /** Returns whether the job could run if the fleet were empty and arbitrarily large. */
    public boolean isFeasible(JobRequest job) {
        Settings.Team team = quotas.team(job.team());
        return team != null && fitsQuota(job, team) && fitsRecord(job) && fitsSomeMachineType(job);
    }

    private static boolean fitsQuota(JobRequest job, Settings.Team team) {
        int simultaneousTasks = simultaneousTasks(job);
        return simultaneousTasks * job.cpus() <= team.cpusLimit() + EPSILON
                && simultaneousTasks * job.gpus() <= team.gpusLimit() + EPSILON;
    }

    private boolean fitsRecord(JobRequest job) {
        return simultaneousTasks(job) <= recordCapacity.maxSimultaneousTasks(job);
    }

    /** An array can run its tasks one at a time; a gang or a service has to run all of them at the same time. */
    private static int simultaneousTasks(JobRequest job) {
        return job.shape() == JobRequest.Shape.ARRAY ? 1 : job.tasks();
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
