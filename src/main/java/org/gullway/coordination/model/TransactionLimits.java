package org.gullway.coordination.model;

import org.gullway.protocol.MessageLimits;

/**
 * Limits of one transaction of the state store.
 *
 * @param changes maximum number of keys that it writes or removes
 * @param conditions maximum number of keys whose versions it compares
 * @param valueBytes maximum size of one value; at most half of {@link MessageLimits#MAX_MESSAGE_BYTES}, so that a
 *     transaction has room for more than one value
 */
public record TransactionLimits(int changes, int conditions, int valueBytes) {
    /** The store allows this many conditions for each change that it allows. */
    private static final int CONDITIONS_PER_CHANGE = 4;
    /** A job that ends changes two keys: its record and its final state. */
    private static final int MIN_CHANGES = 2;

    /** The limits set by the state store. */
    public TransactionLimits(int changes, int valueBytes) {
        this(changes, CONDITIONS_PER_CHANGE * changes, Math.min(valueBytes, MessageLimits.MAX_MESSAGE_BYTES / 2));
    }

    /** These limits with at most {@code maxChanges} changes, but no fewer than the end of one job needs. */
    public TransactionLimits withMaxChanges(int maxChanges) {
        return new TransactionLimits(Math.max(MIN_CHANGES, Math.min(changes, maxChanges)), conditions, valueBytes);
    }

    /** The number of keys whose versions a transaction without changes can compare, whatever the keys. */
    public int maxComparedKeys() {
        return Math.min(conditions, ChangeSet.MAX_COMPARED_KEYS);
    }
}
