package org.gullway.coordination.quota;

import static org.gullway.coordination.placement.ResourceTolerance.EPSILON;

import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/**
 * Reassigns the quota partitions of lost members. Each transaction requires that the member key of the lost member is
 * still absent, so it fails if that controller has rejoined and may use the quota of its partition concurrently.
 */
public final class LostMemberQuota {
    private LostMemberQuota() {}

    /**
     * Transfers a lost member's job to another member, together with the quota that the job's placements use. Does
     * nothing while the usage of the lost member's jobs is not fully accounted for.
     *
     * <p>A controller reuses the quota of a completed attempt before it has recorded the completion. So if the recorded
     * placements of a lost member's jobs use more than its partition holds, some completions are not recorded yet. It
     * is unknown which jobs these completions belong to, so no split of the partition is certain to cover the
     * placements that each new owner receives, and the team's quota could be exceeded. In this case the job stays with
     * the lost member until the completions are recorded.
     */
    public static void transferJob(Transaction transaction, ClusterState clusterState, JobRecord job, String newOwner) {
        String sourcePartition = StoreKeys.quotaPartition(job.owner());
        String team = job.request().team();
        QuotaPartition.Amount allocated =
                transaction.quotaPartition(sourcePartition).of(team);
        if (exceeds(recordedUsage(transaction, clusterState, job.owner(), team), allocated)) {
            return;
        }
        String targetPartition = StoreKeys.quotaPartition(newOwner);
        double cpus = job.livePlacements().size() * job.request().cpus();
        double gpus = job.livePlacements().size() * job.request().gpus();
        transaction.requireUnchanged(StoreKeys.member(job.owner()));
        if (cpus > 0 || gpus > 0) {
            transaction.put(
                    sourcePartition,
                    transaction.quotaPartition(sourcePartition).with(team, allocated.plus(-cpus, -gpus)));
            QuotaPartition receivingPartition = transaction.quotaPartition(targetPartition);
            transaction.put(
                    targetPartition,
                    receivingPartition.with(team, receivingPartition.of(team).plus(cpus, gpus)));
        }
        transaction.moveQuotaUsage(job, targetPartition);
        transaction.putJob(job.withOwner(newOwner));
    }

    /**
     * Returns what the recorded placements of the owner's jobs of this team use, including changes in the transaction.
     */
    private static QuotaPartition.Amount recordedUsage(
            Transaction transaction, ClusterState clusterState, String owner, String team) {
        double cpus = 0;
        double gpus = 0;
        for (JobRecord storedJob : clusterState.jobs()) {
            JobRecord job = transaction.job(storedJob.request().id());
            if (job != null && owner.equals(job.owner()) && job.request().team().equals(team)) {
                cpus += job.livePlacements().size() * job.request().cpus();
                gpus += job.livePlacements().size() * job.request().gpus();
            }
        }
        return new QuotaPartition.Amount(cpus, gpus);
    }

    /** Reduces the partition of each lost member to the quota in use by the jobs that the member still owns. */
    public static void releaseUnused(Transaction transaction, ClusterState clusterState, TeamQuotas quotas) {
        for (String key : clusterState.quotaPartitions().keySet()) {
            String holder = StoreKeys.quotaHolder(key);
            if (holder == null
                    || clusterState.members().containsKey(holder)
                    || transaction.changes().containsKey(key)
                    || !transaction.hasCapacityFor(2)) {
                continue;
            }
            QuotaPartition partition = clusterState.quotaPartitions().get(key);
            if (holdsMoreThanUsed(clusterState, key, partition)) {
                transaction.requireUnchanged(StoreKeys.member(holder));
                transaction.put(key, reducedToUsage(clusterState, quotas, key, partition));
            }
        }
    }

    private static boolean holdsMoreThanUsed(ClusterState clusterState, String key, QuotaPartition partition) {
        for (Map.Entry<String, QuotaPartition.Amount> entry :
                partition.amountByTeam().entrySet()) {
            if (exceeds(entry.getValue(), usedBy(clusterState, key, entry.getKey()))) {
                return true;
            }
        }
        return false;
    }

    private static QuotaPartition reducedToUsage(
            ClusterState clusterState, TeamQuotas quotas, String key, QuotaPartition partition) {
        QuotaPartition reduced = QuotaPartition.EMPTY;
        for (Settings.Team team : quotas.teams()) {
            QuotaPartition.Amount used = usedBy(clusterState, key, team.name());
            QuotaPartition.Amount allocated = partition.of(team.name());
            reduced = reduced.with(
                    team.name(),
                    new QuotaPartition.Amount(
                            Math.min(allocated.cpus(), used.cpus()), Math.min(allocated.gpus(), used.gpus())));
        }
        return reduced;
    }

    private static QuotaPartition.Amount usedBy(ClusterState clusterState, String key, String team) {
        ResourceUsage usage = clusterState.quotaUsage(key, team);
        return new QuotaPartition.Amount(usage.cpus, usage.gpus);
    }

    private static boolean exceeds(QuotaPartition.Amount amount, QuotaPartition.Amount limit) {
        return amount.cpus() > limit.cpus() + EPSILON || amount.gpus() > limit.gpus() + EPSILON;
    }
}
