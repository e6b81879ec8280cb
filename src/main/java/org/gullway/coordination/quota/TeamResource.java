package org.gullway.coordination.quota;

import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Settings;

/** One resource of one team's quota. */
record TeamResource(Settings.Team team, QuotaResource resource) {
    /** What all partitions together may allocate. */
    double quota() {
        return resource.quotaOf(team);
    }

    /** What the partition allocates, as the transaction leaves it. */
    double allocatedTo(String partition, Transaction transaction) {
        return resource.allocatedTo(team.name(), transaction.quotaPartition(partition));
    }

    /** What tasks use of the partition, as the transaction leaves it. */
    double usedOf(String partition, Transaction transaction) {
        return resource.usedBy(team.name(), partition, transaction);
    }
}
