package org.gullway.coordination.model;

import java.util.Set;

/** Machines on which no best-effort task starts while reserved work waits. */
public record CordonedMachines(Set<String> names) implements StoreRecord {
    /** As many as certainly fit into one value of the state store. */
    public static final int MAX_MACHINES = 200;
}
