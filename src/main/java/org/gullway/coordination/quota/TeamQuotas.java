package org.gullway.coordination.quota;

import java.util.Collection;
import java.util.Map;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Settings;

/** The teams' quotas by the platform's settings, and what a job may use of them. */
public final class TeamQuotas {
    private static final double EPSILON = 1e-6;

    private final Map<String, Settings.Team> teams;

    public TeamQuotas(Map<String, Settings.Team> teams) {
        this.teams = teams;
    }

    /** The team of this name, or null. */
    public Settings.Team team(String name) {
        return teams.get(name);
    }

    public Collection<Settings.Team> teams() {
        return teams.values();
    }

    /** How many more tasks of the job its partition of the team's quota allows. */
    public int remainingTasks(JobRecord job, Transaction transaction) {
        JobRequest request = job.request();
        String partition = StoreKeys.quotaPartitionOf(job);
        QuotaPartition.Amount quota = transaction.quotaPartition(partition).of(request.team());
        double byCpus =
                (quota.cpus() - transaction.quotaCpusUsed(partition, request.team()) + EPSILON) / request.cpus();
        double byGpus = request.gpus() == 0
                ? byCpus
                : (quota.gpus() - transaction.quotaGpusUsed(partition, request.team()) + EPSILON) / request.gpus();
        return (int) Math.max(0, Math.min(byCpus, byGpus));
    }
}
