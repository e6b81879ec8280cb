package org.gullway.coordination.model;

import java.time.Instant;
import org.gullway.protocol.Count;

/**
 * An attempt of a task that may be running on a machine. It is recorded before the start command is sent, and removed
 * only when it is certain that the attempt has ended and cannot begin again.
 *
 * @param agentEpoch the machine's agent epoch for which the attempt was placed
 * @param stopping whether the attempt is to be stopped
 * @param placedAt wall-clock time of the placement
 */
public record Placement(int task, Count attempt, String machine, Count agentEpoch, boolean stopping, Instant placedAt) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof Placement placement
                        && task == placement.task
                        && attempt.equals(placement.attempt)
                        && agentEpoch.equals(placement.agentEpoch)
                        && stopping == placement.stopping
                        && machine.equals(placement.machine)
                        && placedAt.equals(placement.placedAt));
    }

    @Override
    public int hashCode() {
        return 31 * (31 * machine.hashCode() + task) + attempt.hashCode();
    }

    /** This placement, marked as stopping. */
    public Placement asStopping() {
        return stopping ? this : new Placement(task, attempt, machine, agentEpoch, true, placedAt);
    }
}
