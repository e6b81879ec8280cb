package org.gullway.coordination.model;

import java.util.HashMap;
import java.util.Map;
import org.gullway.protocol.Count;

/**
 * The latest known version of each key, and the removals that the watch has not delivered yet. Changes arrive from the
 * watch and from the outcomes of this controller's own transactions, in any order; outdated ones are rejected.
 */
final class KeyVersions {
    private final Map<String, Count> versions = new HashMap<>();
    /**
     * Revisions of the removals that the watch has not delivered yet. An earlier change of such a key, which the watch
     * may still deliver, must not restore the key.
     */
    private final Map<String, Count> removalTombstones = new HashMap<>();

    private Count watchedRevision = Count.ZERO;

    void clear() {
        versions.clear();
        removalTombstones.clear();
        watchedRevision = Count.ZERO;
    }

    /** The known version of a key; 0 if it does not exist. */
    Count versionOf(String key) {
        return versions.getOrDefault(key, Count.ZERO);
    }

    /**
     * Accepts the version of a written value if it is newer than the known version, than any known removal of the key
     * and than the watched revision. The last condition rejects the outcome of one of this controller's transactions
     * that arrives after the watch has delivered another controller's removal of the key: it would restore the key
     * permanently.
     */
    boolean acceptPut(String key, Count version) {
        if (watchedRevision.isAtLeast(version)
                || versionOf(key).isAtLeast(version)
                || removalTombstones.getOrDefault(key, Count.ZERO).isAtLeast(version)) {
            return false;
        }
        versions.put(key, version);
        return true;
    }

    /** Accepts the removal of a key at a revision, unless the known version is the same or newer. */
    boolean acceptRemoval(String key, Count revision) {
        if (versionOf(key).isAtLeast(revision)) {
            return false;
        }
        versions.remove(key);
        if (revision.isGreaterThan(watchedRevision)) {
            removalTombstones.put(key, revision);
        }
        return true;
    }

    /** Records that the watch has delivered every change up to this revision. */
    void advanceTo(Count revision) {
        if (revision.isGreaterThan(watchedRevision)) {
            watchedRevision = revision;
            removalTombstones.values().removeIf(revision::isAtLeast);
        }
    }

    Count watchedRevision() {
        return watchedRevision;
    }
}
