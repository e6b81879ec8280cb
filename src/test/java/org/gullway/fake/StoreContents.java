package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** The keys of the state store at its current revision, and the history of all changes. */
final class StoreContents {
    /**
     * The current value of a key.
     *
     * @param version the revision at which the value was written
     * @param lease the lease to which the key is attached, or 0
     */
    record Entry(JsonNode value, long version, long lease) {}

    /**
     * One change of a key.
     *
     * @param value the value that was put, or null if the key was removed
     */
    record Event(String key, JsonNode value, long revision) {}

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision;

    long revision() {
        return revision;
    }

    void startRevisionsAt(long lastRevision) {
        revision = lastRevision;
    }

    /** Returns the entry of the key, or null if the key does not exist. */
    Entry entry(String key) {
        return entries.get(key);
    }

    /** Returns all entries from this key on, in key order. */
    SortedMap<String, Entry> entriesFrom(String key, boolean inclusive) {
        return entries.tailMap(key, inclusive);
    }

    /** Returns the keys whose current versions differ from the conditions. */
    List<String> failedConditions(JsonNode conditions) {
        List<String> failed = new ArrayList<>();
        for (JsonNode condition : conditions) {
            String key = condition.path("k").asText();
            Entry entry = entries.get(key);
            if ((entry == null ? 0 : entry.version()) != UnsignedNumbers.bits(condition.path("mark"))) {
                failed.add(key);
            }
        }
        return failed;
    }

    /** Applies all changes at one new revision. Without changes the revision stays the same. */
    void apply(JsonNode changes) {
        if (!changes.isEmpty()) {
            revision++;
            changes.forEach(this::applyOne);
        }
    }

    private void applyOne(JsonNode change) {
        String key = keyOf(change);
        if (change.has("remove")) {
            if (entries.remove(key) != null) {
                events.add(new Event(key, null, revision));
            }
            return;
        }
        JsonNode value = change.path("v");
        entries.put(key, new Entry(value, revision, UnsignedNumbers.bits(change.path("tether"))));
        events.add(new Event(key, value, revision));
    }

    static String keyOf(JsonNode change) {
        return change.path(change.has("remove") ? "remove" : "put").asText();
    }

    /** Removes all keys attached to the lease, at one new revision. Returns false if there were none. */
    boolean removeAttached(long lease) {
        List<String> keys = entries.entrySet().stream()
                .filter(entry -> entry.getValue().lease() == lease)
                .map(entry -> entry.getKey())
                .toList();
        if (keys.isEmpty()) {
            return false;
        }
        revision++;
        for (String key : keys) {
            entries.remove(key);
            events.add(new Event(key, null, revision));
        }
        return true;
    }

    /** Returns whether a key with this prefix has changed after the revision. */
    boolean changedAfter(long from, String prefix) {
        for (int i = events.size() - 1;
                i >= 0 && UnsignedNumbers.isLess(from, events.get(i).revision());
                i--) {
            if (events.get(i).key().startsWith(prefix)) {
                return true;
            }
        }
        return false;
    }

    /** Returns all events after the revision. */
    List<Event> eventsAfter(long from) {
        int first = events.size();
        while (first > 0 && UnsignedNumbers.isLess(from, events.get(first - 1).revision())) {
            first--;
        }
        return events.subList(first, events.size());
    }
}
