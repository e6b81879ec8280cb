package org.gullway.storage;

import java.util.Set;
import org.gullway.protocol.Count;

/**
 * Result of a version check: a linearizable comparison of key versions in the cluster state with those in the state
 * store.
 *
 * @param staleKeys keys whose version in the cluster state is not the current one; empty if no versions were compared
 * @param revision revision of the state store at which the versions were compared; 0 if no versions were compared
 */
public record VersionCheckResult(Kind kind, Set<String> staleKeys, Count revision) {
    /** Whether the versions were compared, and if not, why. */
    public enum Kind {
        /** The versions were compared; {@code staleKeys} contains the keys whose versions differ. */
        COMPARED,
        /** The state store rejected the request because of its rate limit. */
        BUSY,
        /** The state store did not respond, or rejected the request for another reason. */
        FAILED
    }

    static VersionCheckResult of(StateStoreClient.Outcome outcome) {
        if (outcome.isOkWithBody()) {
            return new VersionCheckResult(Kind.COMPARED, Set.of(), outcome.revision());
        }
        if (outcome.isConflict()) {
            return new VersionCheckResult(Kind.COMPARED, outcome.failedConditions(), outcome.revision());
        }
        return new VersionCheckResult(outcome.isRateLimited() ? Kind.BUSY : Kind.FAILED, Set.of(), Count.ZERO);
    }
}
