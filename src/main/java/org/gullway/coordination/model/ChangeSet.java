package org.gullway.coordination.model;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The changes and conditions of one transaction, counted against the limits of the state store. */
final class ChangeSet {
    private final Transaction.Limits limits;
    private final Map<String, StoreRecord> changes = new LinkedHashMap<>();
    private final Set<String> conditions = new LinkedHashSet<>();
    private int bytes;

    ChangeSet(Transaction.Limits limits) {
        this.limits = limits;
    }

    /** Keys with their new values; a null value removes the key. */
    Map<String, StoreRecord> changes() {
        return changes;
    }

    Set<String> conditions() {
        return conditions;
    }

    boolean isChanged(String key) {
        return changes.containsKey(key);
    }

    boolean isRemoved(String key) {
        return changes.containsKey(key) && changes.get(key) == null;
    }

    /** The new value of a key; null if the key is not changed or is removed. */
    StoreRecord valueOf(String key) {
        return changes.get(key);
    }

    void requireUnchanged(String key) {
        conditions.add(key);
    }

    void put(String key, StoreRecord value) {
        conditions.add(key);
        bytes += sizeOf(value) - sizeOf(changes.get(key));
        changes.put(key, value);
    }

    void remove(String key) {
        conditions.add(key);
        bytes -= sizeOf(changes.get(key));
        changes.put(key, null);
    }

    private static int sizeOf(StoreRecord value) {
        return value == null ? 0 : value.estimatedEncodedBytes();
    }

    /** Whether this many further changes fit, each with one condition besides that on the changed key. */
    boolean hasCapacityFor(int furtherChanges) {
        return changes.size() + furtherChanges <= limits.changes()
                && conditions.size() + 2 * furtherChanges <= limits.conditions()
                && hasFreeBytes();
    }

    boolean hasFreeBytes() {
        return bytes < Transaction.Limits.SOFT_MAX_BYTES;
    }
}
