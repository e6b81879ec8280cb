package org.gullway.coordination.model;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.gullway.protocol.Count;
import org.gullway.protocol.JsonSize;
import org.gullway.protocol.MessageLimits;

/** The changes and conditions of one transaction, counted against the limits of the state store. */
final class ChangeSet {
    /** The encoded transaction without its conditions and changes. */
    private static final int ENVELOPE_BYTES = "{\"guards\":[],\"then\":[]}".length();
    /** A condition without its key, including the separator. */
    private static final int CONDITION_BYTES = ("{\"k\":,\"mark\":" + Count.MAX + "},").length();
    /** A change without its key and its value, including the separator. */
    private static final int CHANGE_BYTES = ("{\"remove\":,\"v\":,\"tether\":" + Count.MAX + "},").length();
    /** The state store allows keys of 200 bytes; quotes are added. */
    private static final int MAX_KEY_BYTES = 200 + "\"\"".length();
    /** A further change without its value: its key is in the change and in a condition, and there is one other condition. */
    private static final int FURTHER_CHANGE_BYTES = CHANGE_BYTES + 2 * CONDITION_BYTES + 3 * MAX_KEY_BYTES;
    /** Any keys of this number can be compared in one transaction that changes nothing. */
    static final int MAX_COMPARED_KEYS =
            (MessageLimits.MAX_MESSAGE_BYTES - ENVELOPE_BYTES) / (CONDITION_BYTES + MAX_KEY_BYTES);

    private final TransactionLimits limits;
    private final Map<String, StoreRecord> changes = new LinkedHashMap<>();
    private final Set<String> conditions = new LinkedHashSet<>();
    /** Upper bound for the size of the transaction as JSON. */
    private int bytes = ENVELOPE_BYTES;
    /** Space for placements that are planned, but not part of the changes yet. */
    private int reservedBytes;

    ChangeSet(TransactionLimits limits) {
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
        if (conditions.add(key)) {
            bytes += CONDITION_BYTES + JsonSize.ofText(key);
        }
    }

    void put(String key, StoreRecord value) {
        replace(key, value);
    }

    void remove(String key) {
        replace(key, null);
    }

    private void replace(String key, StoreRecord value) {
        requireUnchanged(key);
        if (!changes.containsKey(key)) {
            bytes += CHANGE_BYTES + JsonSize.ofText(key);
        }
        bytes += sizeOf(value) - sizeOf(changes.get(key));
        changes.put(key, value);
    }

    private static int sizeOf(StoreRecord value) {
        return value == null ? 0 : value.maxEncodedBytes();
    }

    /** Sets space aside for a placement that a later change adds; negative to release it. */
    void reserveBytes(int count) {
        reservedBytes += count;
    }

    /**
     * Whether this many further changes fit, each with one condition besides that on the changed key. One of the new
     * values may have the maximum size; the others must be small.
     */
    boolean hasCapacityFor(int furtherChanges) {
        return hasKeysFor(furtherChanges) && freeBytes(furtherChanges) >= limits.valueBytes();
    }

    /** Whether this many further keys may be changed, each with one condition besides that on the changed key. */
    boolean hasKeysFor(int furtherChanges) {
        return changes.size() + furtherChanges <= limits.changes()
                && conditions.size() + 2 * furtherChanges <= limits.conditions();
    }

    /** The space for further values that is left if this many further keys are changed. */
    int freeBytes(int furtherChanges) {
        return MessageLimits.MAX_MESSAGE_BYTES - bytes - reservedBytes - furtherChanges * FURTHER_CHANGE_BYTES;
    }

    /** The space that is left for the growth of a value of this size if its key may be changed, otherwise 0. */
    int freeBytesForGrowthOf(String key, int valueBytes) {
        if (isChanged(key)) {
            return freeBytes(0);
        }
        return hasKeysFor(1) ? freeBytes(1) - valueBytes : 0;
    }
}
