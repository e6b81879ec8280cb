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

/** The teams' quotas by the platform's settings, and how much of them a job may still use. */
public final class TeamQuotas {
    private final Map<String, Settings.Team> teams;

    public TeamQuotas(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    /** The team of this name, or null if the settings do not have it. */
    public Settings.Team team(String name) {
        return teams.get(name);
    }

    /** All teams of the settings. */
    public Collection<Settings.Team> teams() {
        return teams.values();
    }

    /** How many more tasks of the job its partition of the team's quota allows. */
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
