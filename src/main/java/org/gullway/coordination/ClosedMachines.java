package org.gullway.coordination;

import java.util.Set;

/** Machines on which no best-effort task starts while reserved work waits. */
public record ClosedMachines(Set<String> names) {
    /** As many as surely fit into one value of the state store. */
    public static final int MOST = 200;
}
