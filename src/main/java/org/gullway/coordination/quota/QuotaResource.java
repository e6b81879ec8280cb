package org.gullway.coordination.quota;

import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/** A resource that quotas limit, with access to its amount in quotas, partitions and usage. */
enum QuotaResource {
    CPUS,
    GPUS;

    /** Returns the team's quota: the limit for the sum of all its tasks. */
    double quotaOf(Settings.Team team) {
        return switch (this) {
            case CPUS -> team.cpusLimit();
            case GPUS -> team.gpusLimit();
        };
    }

    /** Returns the amount that the partition allocates to the team. */
    double allocatedTo(String team, QuotaPartition partition) {
        QuotaPartition.Amount amount = partition.of(team);
        return switch (this) {
            case CPUS -> amount.cpus();
            case GPUS -> amount.gpus();
        };
    }

    /** Returns the amount of the partition that the team's tasks use, including changes in the transaction. */
    double usedBy(String team, String partition, Transaction transaction) {
        return switch (this) {
            case CPUS -> transaction.quotaCpusUsed(partition, team);
            case GPUS -> transaction.quotaGpusUsed(partition, team);
        };
    }
}
