package org.gullway.coordination.cycle;

import org.gullway.coordination.model.Transaction;

/** One step of the scheduling cycle, which plans the changes of one subsystem. */
@FunctionalInterface
public interface PlanningStep {
    /**
     * Adds the due changes to the transaction until its capacity is used up. Changes that do not fit are left for the
     * next cycle.
     */
    void plan(Transaction transaction, PlanningContext context);
}
