package org.gullway.storage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.Count;

/**
 * Keeps the failed conditions since the last committed transaction, to detect keys of which the cluster state has a
 * wrong version.
 */
final class ConflictHistory {
    private record Conflict(Count expectedVersion, Count revision) {}

    private final Map<String, Conflict> lastConflicts = new HashMap<>();

    void clear() {
        lastConflicts.clear();
    }

    /**
     * Records the failed conditions of a transaction. If the condition on a key fails twice with the same expected
     * version, and the watch had reached the revision of the first failure when the second transaction was sent, then
     * the cluster state has a wrong version of the key, and every further transaction on the key would fail too. Keys
     * that are not watched, and keys that were expected not to exist, are not considered.
     *
     * @param failed the keys whose conditions failed
     * @param expectedVersions the versions that the transaction expected, by key
     * @param revision revision of the state store at which the conditions failed
     * @param watchedRevision the revision that the watch had reached when the transaction was sent
     * @return true if the cluster state has a wrong version of any of the keys
     */
    boolean record(Set<String> failed, Map<String, Count> expectedVersions, Count revision, Count watchedRevision) {
        boolean inconsistent = false;
        for (String key : failed) {
            Count expected = expectedVersions.get(key);
            Conflict previous = lastConflicts.put(key, new Conflict(expected, revision));
            inconsistent |= key.startsWith(StoreKeys.LIVE)
                    && previous != null
                    && !previous.expectedVersion().isZero()
                    && previous.expectedVersion().equals(expected)
                    && watchedRevision.isAtLeast(previous.revision());
        }
        return inconsistent;
    }
}
