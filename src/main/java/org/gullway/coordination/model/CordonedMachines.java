package org.gullway.coordination.model;

import java.util.Set;

/**
 * Names of the machines that are kept free for waiting reserved jobs or for large tasks of stalled best-effort jobs. No
 * other best-effort task starts there.
 */
public record CordonedMachines(Set<String> names) implements StoreRecord {
    /** Maximum number of names; this many always fit into one value of the state store. */
    public static final int MAX_MACHINES = 200;
}
