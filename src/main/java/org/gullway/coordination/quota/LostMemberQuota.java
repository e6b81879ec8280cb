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
 * Reassigns the quota partitions of lost members. Each change requires that the member's key is still absent, so that
 * the lost member cannot place on its partition at the same time.
 */
public final class LostMemberQuota {
    private LostMemberQuota() {}

    /**
     * Assigns a lost member's job to another member, together with the quota that its tasks use.
     *
     * <p>While the jobs on record use more than the partition holds, some completions are not on record yet. Which of
     * the jobs they belong to is not known here, so no division of the partition would surely cover what each new
     * owner receives, and the quota could be exceeded: the job stays until the completions are on record.
     */
    public static void transferJob(Transaction transaction, ClusterState clusterState, JobRecord job, String newOwner) {
        String source = StoreKeys.quotaPartition(job.owner());
        String team = job.request().team();
        QuotaPartition.Amount allocated = transaction.quotaPartition(source).of(team);
        if (exceeds(recordedUse(transaction, clusterState, job.owner(), team), allocated)) {
            return;
        }
        String target = StoreKeys.quotaPartition(newOwner);
        double cpus = job.livePlacements().size() * job.request().cpus();
        double gpus = job.livePlacements().size() * job.request().gpus();
        transaction.requireUnchanged(StoreKeys.member(job.owner()));
        if (cpus > 0 || gpus > 0) {
            transaction.put(source, transaction.quotaPartition(source).with(team, allocated.plus(-cpus, -gpus)));
            QuotaPartition receiving = transaction.quotaPartition(target);
            transaction.put(target, receiving.with(team, receiving.of(team).plus(cpus, gpus)));
        }
        transaction.moveQuotaUsage(job, target);
        transaction.putJob(job.withOwner(newOwner));
    }

    /** What the team's jobs of this owner use, as the transaction leaves their records. */
    private static QuotaPartition.Amount recordedUse(
            Transaction transaction, ClusterState clusterState, String owner, String team) {
        double cpus = 0;
        double gpus = 0;
        for (JobRecord known : clusterState.jobs()) {
            JobRecord job = transaction.job(known.request().id());
            if (job != null && owner.equals(job.owner()) && job.request().team().equals(team)) {
                cpus += job.livePlacements().size() * job.request().cpus();
                gpus += job.livePlacements().size() * job.request().gpus();
            }
        }
        return new QuotaPartition.Amount(cpus, gpus);
    }

    /** Frees what lost members hold beyond the use of the jobs that they still own. */
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
                transaction.put(key, reducedToUse(clusterState, quotas, key, partition));
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

    private static QuotaPartition reducedToUse(
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

    private static boolean exceeds(QuotaPartition.Amount amount, QuotaPartition.Amount bound) {
        return amount.cpus() > bound.cpus() + EPSILON || amount.gpus() > bound.gpus() + EPSILON;
    }
}
