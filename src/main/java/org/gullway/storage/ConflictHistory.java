package org.gullway.storage;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.StoreKeys;

/** Remembers failed guards since the last commit that succeeded, to notice keys about which the view is wrong. */
final class ConflictHistory {
    private record Refusal(long version, long revision) {}

    private final Map<String, Refusal> refusals = new HashMap<>();

    void clear() {
        refusals.clear();
    }

    /**
     * Notes a refused commit. A refusal for the same mark of a key, though the watch has passed the first one, means
     * that the view is wrong about that key; it would be refused for ever.
     *
     * @param failed the keys whose guards failed
     * @param marks the marks with which the commit was guarded
     * @param revision of the refusal
     * @param knownTo the revision that the watch had reached when the commit was sent
     * @return whether the view is wrong about any of the keys
     */
    boolean repeated(Set<String> failed, Map<String, Long> marks, long revision, long knownTo) {
        boolean wrong = false;
        for (String key : failed) {
            Refusal before = refusals.put(key, new Refusal(marks.get(key), revision));
            wrong |= key.startsWith(StoreKeys.LIVE)
                    && before != null
                    && before.version() > 0
                    && before.version() == marks.get(key)
                    && knownTo >= before.revision();
        }
        return wrong;
    }
}
