package org.gullway.coordination.model;

import java.util.HashMap;
import java.util.Map;

/**
 * The known version of each key, and what the watch has not confirmed yet. Changes come from the watch and from the
 * outcomes of this controller's own transactions, in any order; only those that are news are accepted.
 */
final class KeyVersions {
    private final Map<String, Long> versions = new HashMap<>();
    /** Removals that the watch has not reached yet, so that an earlier change that it still brings does not undo them. */
    private final Map<String, Long> removalTombstones = new HashMap<>();

    private long watchedRevision;

    void clear() {
        versions.clear();
        removalTombstones.clear();
        watchedRevision = 0;
    }

    /** The known version of a key; 0 if it does not exist. */
    long versionOf(String key) {
        return versions.getOrDefault(key, 0L);
    }

    /**
     * Accepts a value's version, unless it is not newer than the known one or than a removal. Nor is one accepted that
     * the watch has passed: the outcome of an own transaction can come after the watch has brought another
     * controller's removal of the key, and would bring the key back for good.
     */
    boolean acceptPut(String key, long version) {
        if (version <= watchedRevision
                || versionOf(key) >= version
                || removalTombstones.getOrDefault(key, 0L) >= version) {
            return false;
        }
        versions.put(key, version);
        return true;
    }

    /** Accepts the removal of a key at a revision, unless its known version is as new. */
    boolean acceptRemoval(String key, long revision) {
        if (versionOf(key) >= revision) {
            return false;
        }
        versions.remove(key);
        if (revision > watchedRevision) {
            removalTombstones.put(key, revision);
        }
        return true;
    }

    /** Every change up to this revision has been brought by the watch. */
    void advanceTo(long revision) {
        if (revision > watchedRevision) {
            watchedRevision = revision;
            removalTombstones.values().removeIf(removedAt -> removedAt <= revision);
        }
    }

    long watchedRevision() {
        return watchedRevision;
    }
}
