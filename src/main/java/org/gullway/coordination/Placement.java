package org.gullway.coordination;

import java.time.Instant;

/**
 * One attempt of a task that may be on a machine: recorded before its start is sent, removed only
 * when it is certain that the attempt has ended and cannot begin again.
 */
public record Placement(int task, long attempt, String machine, long session, boolean stopping, Instant since) {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Placement placement
                        && task == placement.task
                        && attempt == placement.attempt
                        && session == placement.session
                        && stopping == placement.stopping
                        && machine.equals(placement.machine)
                        && since.equals(placement.since);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * machine.hashCode() + task) + Long.hashCode(attempt);
    }

    public Placement stopped() {
        return stopping ? this : new Placement(task, attempt, machine, session, true, since);
    }
}
