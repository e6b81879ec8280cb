package org.gullway.coordination.quota;

import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/** One resource in the quota of one team. */
record TeamResource(Settings.Team team, QuotaResource resource) {
    /** Returns the limit for the sum of all partitions. */
    double quota() {
        return resource.quotaOf(team);
    }

    /** Returns the amount that the partition allocates, including changes in the transaction. */
    double allocatedTo(String partition, Transaction transaction) {
        return resource.allocatedTo(team.name(), transaction.quotaPartition(partition));
    }

    /** Returns the amount of the partition that tasks use, including changes in the transaction. */
    double usedIn(String partition, Transaction transaction) {
        return resource.usedBy(team.name(), partition, transaction);
    }
}
