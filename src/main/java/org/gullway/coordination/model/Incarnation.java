package org.gullway.coordination.model;

/**
 * One run of a controller's process: its name and a number that no other run has.
 *
 * <p>It is compared for each machine in each round. Like the other records that are compared or hashed so often, it says
 * how itself: what a record does by default is put together at run time, in a start's dearest moments.
 */
public record Incarnation(String node, long number) implements StoreRecord {
    @Override
    public boolean equals(Object other) {
        return this == other
                || other instanceof Incarnation incarnation
                        && number == incarnation.number
                        && node.equals(incarnation.node);
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + Long.hashCode(number);
    }
}
