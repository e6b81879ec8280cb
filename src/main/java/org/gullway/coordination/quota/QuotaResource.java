package org.gullway.coordination.quota;

import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/** A resource that quotas limit, and where its amount is found. */
enum QuotaResource {
    CPUS,
    GPUS;

    /** What all of the team's tasks together may use. */
    double quotaOf(Settings.Team team) {
        return switch (this) {
            case CPUS -> team.cpusLimit();
            case GPUS -> team.gpusLimit();
        };
    }

    /** What the partition allocates to the team. */
    double allocatedTo(String team, QuotaPartition partition) {
        QuotaPartition.Amount amount = partition.of(team);
        return switch (this) {
            case CPUS -> amount.cpus();
            case GPUS -> amount.gpus();
        };
    }

    /** What the team's tasks use of the partition, as the transaction leaves it. */
    double usedBy(String team, String partition, Transaction transaction) {
        return switch (this) {
            case CPUS -> transaction.quotaCpusUsed(partition, team);
            case GPUS -> transaction.quotaGpusUsed(partition, team);
        };
    }
}
