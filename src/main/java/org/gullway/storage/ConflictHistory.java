package org.gullway.storage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.StoreKeys;

/** Remembers failed conditions since the last transaction that was applied, to notice keys that are wrong here. */
final class ConflictHistory {
    private record Conflict(long expectedVersion, long revision) {}

    private final Map<String, Conflict> lastConflicts = new HashMap<>();

    void clear() {
        lastConflicts.clear();
    }

    /**
     * Records the failed conditions of a transaction. A key that fails for the same version again, though the watch has
     * passed the first conflict, is wrong in the cluster state, and every transaction on it would fail.
     *
     * @param failed the keys whose conditions failed
     * @param expectedVersions the versions that the transaction expected
     * @param revision at which the conditions failed
     * @param watchedRevision the revision that the watch had reached when the transaction was sent
     * @return whether the cluster state is wrong about any of the keys
     */
    boolean record(Set<String> failed, Map<String, Long> expectedVersions, long revision, long watchedRevision) {
        boolean wrong = false;
        for (String key : failed) {
            long expected = expectedVersions.get(key);
            Conflict previous = lastConflicts.put(key, new Conflict(expected, revision));
            wrong |= key.startsWith(StoreKeys.LIVE)
                    && previous != null
                    && previous.expectedVersion() > 0
                    && previous.expectedVersion() == expected
                    && watchedRevision >= previous.revision();
        }
        return wrong;
    }
}
