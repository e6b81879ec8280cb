package org.gullway.storage;

import java.util.Set;

/**
 * The store's comparison of key versions with those of the cluster state.
 *
 * @param staleKeys the keys of which the cluster state has not the newest version, if they were compared
 * @param revision of the state store at which they were compared
 */
public record LinearizableRead(Kind kind, Set<String> staleKeys, long revision) {
    /** How the comparison ended. */
    public enum Kind {
        /** The versions were compared; {@code staleKeys} names those that differ. */
        COMPARED,
        /** The store has too many requests at this moment. */
        BUSY,
        /** The store did not answer, or refused. */
        FAILED
    }

    static LinearizableRead of(StateStoreClient.Outcome outcome) {
        if (outcome.isOkWithBody()) {
            return new LinearizableRead(Kind.COMPARED, Set.of(), outcome.revision());
        }
        if (outcome.isConflict()) {
            return new LinearizableRead(Kind.COMPARED, outcome.failedConditions(), outcome.revision());
        }
        return new LinearizableRead(outcome.isRateLimited() ? Kind.BUSY : Kind.FAILED, Set.of(), 0);
    }
}
