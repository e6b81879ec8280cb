package org.gullway.coordination.cycle;

import org.gullway.coordination.model.Transaction;

/** One concern's part in a scheduling cycle. */
@FunctionalInterface
public interface PlanningStep {
    /** Adds the changes that are due to the transaction, as far as it has capacity; the next cycle adds the others. */
    void plan(Transaction transaction, PlanningContext context);
}
