package org.gullway.storage;

import java.util.Set;
import org.gullway.transport.HttpResponse;

/**
 * What the store said of the view's marks.
 *
 * @param stale the keys whose marks are not the newest, if they were compared
 * @param revision of the state service at which they were compared
 */
public record LinearizableRead(Kind kind, Set<String> staleKeys, long revision) {
    /** How a verification ended. */
    public enum Kind {
        /** The marks were compared; {@code stale} names the keys whose marks are not the newest. */
        COMPARED,
        /** There were too many requests at this moment. */
        BUSY,
        /** The store did not answer, or refused. */
        FAILED
    }

    static LinearizableRead of(StateStoreClient.Outcome outcome) {
        if (outcome.is(200)) {
            return new LinearizableRead(Kind.COMPARED, Set.of(), outcome.revision());
        }
        if (outcome.is(409)) {
            return new LinearizableRead(Kind.COMPARED, outcome.failedConditions(), outcome.revision());
        }
        boolean busy = outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 429;
        return new LinearizableRead(busy ? Kind.BUSY : Kind.FAILED, Set.of(), 0);
    }
}
