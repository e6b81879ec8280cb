package org.gullway.coordination.model;

import java.util.Set;

/** Names of the machines on which no best-effort task starts while reserved jobs wait. */
public record CordonedMachines(Set<String> names) implements StoreRecord {
    /** Maximum number of names; this many always fit into one value of the state store. */
    public static final int MAX_MACHINES = 200;
}
