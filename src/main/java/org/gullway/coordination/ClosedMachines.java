package org.gullway.coordination;

import java.util.Set;

/** The machines that the leader has marked while reserved work waits. */
public record ClosedMachines(Set<String> names) {
}
