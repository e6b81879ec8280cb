package org.gullway.coordination.model;

import java.util.LinkedHashSet;
import java.util.Set;
import org.gullway.protocol.JsonSize;

/**
 * Names of the machines that are kept free for waiting reserved jobs or for large tasks of stalled best-effort jobs. No
 * other best-effort task starts there.
 */
public record CordonedMachines(Set<String> names) implements StoreRecord {
    /** Maximum number of machines that are cordoned for waiting reserved jobs at a time. */
    public static final int MAX_MACHINES = 200;

    /** The first of the machines, as many as fit into one value of the state store. */
    public static CordonedMachines firstThatFit(Set<String> names, int valueBytes) {
        Set<String> fitting = new LinkedHashSet<>();
        int bytes = NUMBERS_BYTES;
        for (String name : names) {
            bytes += listedBytes(name);
            if (bytes > valueBytes) {
                break;
            }
            fitting.add(name);
        }
        return new CordonedMachines(fitting);
    }

    @Override
    public int maxEncodedBytes() {
        int bytes = NUMBERS_BYTES;
        for (String name : names) {
            bytes += listedBytes(name);
        }
        return bytes;
    }

    /** The size of a name in a list, including the separator. */
    private static int listedBytes(String name) {
        return JsonSize.ofText(name) + 1;
    }
}
