package org.gullway.coordination.model;

import org.gullway.protocol.JsonSize;

/**
 * Identifies one run of a controller's process, by the controller's name and a number that no other run has.
 * The package description says why {@code equals} and {@code hashCode} are explicit.
 *
 * @param node the controller's name; log lines that contain an incarnation show it under the name of this component
 */
public record Incarnation(String node, long number) implements StoreRecord {
    @Override
    public int maxEncodedBytes() {
        return NUMBERS_BYTES + JsonSize.ofText(node);
    }

    @Override
    public boolean equals(Object other) {
        return this == other
                || (other instanceof Incarnation incarnation
                        && number == incarnation.number
                        && node.equals(incarnation.node));
    }

    @Override
    public int hashCode() {
        return 31 * node.hashCode() + Long.hashCode(number);
    }
}
