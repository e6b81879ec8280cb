package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.util.Collection;
import java.util.Map;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/**
 * The quotas of the teams from the platform settings, and the number of further tasks of a job that its quota partition
 * allows.
 */
public final class TeamQuotas {
    private final Map<String, Settings.Team> teams;

    public TeamQuotas(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    /** Returns the team with this name, or null if the settings do not define it. */
    public Settings.Team team(String name) {
        return teams.get(name);
    }

    /** Returns all teams that the settings define. */
    public Collection<Settings.Team> teams() {
        return teams.values();
    }

    /**
     * Returns the number of the job's waiting tasks that its quota partition and its record allow to start, however
     * many resources are free.
     */
    public int startableTasks(JobRecord job, Transaction transaction) {
        return Math.min(transaction.recordCapacity().startableTasks(job), remainingTasks(job, transaction));
    }

    /** Returns the number of further tasks of the job that fit into the quota partition that the job draws on. */
    public int remainingTasks(JobRecord job, Transaction transaction) {
        JobRequest request = job.request();
        String partition = StoreKeys.quotaPartitionOf(job);
        QuotaPartition.Amount allocated = transaction.quotaPartition(partition).of(request.team());
        double byCpus =
                (allocated.cpus() - transaction.quotaCpusUsed(partition, request.team()) + EPSILON) / request.cpus();
        double byGpus = request.gpus() == 0
                ? byCpus
                : (allocated.gpus() - transaction.quotaGpusUsed(partition, request.team()) + EPSILON) / request.gpus();
        return (int) Math.max(0, Math.min(byCpus, byGpus));
    }
}
