package org.gullway.bookkeeping;

import java.util.Set;
import org.gullway.transport.Reply;

/**
 * What the store said of the view's marks.
 *
 * @param stale the keys whose marks are not the newest, if they were compared
 * @param revision of the state service at which they were compared
 */
public record Verification(Kind kind, Set<String> stale, long revision) {
    /** How a verification ended. */
    public enum Kind {
        /** The marks were compared; {@code stale} names the keys whose marks are not the newest. */
        COMPARED,
        /** There were too many requests at this moment. */
        BUSY,
        /** The store did not answer, or refused. */
        FAILED
    }

    static Verification of(StateStore.Outcome outcome) {
        if (outcome.is(200)) {
            return new Verification(Kind.COMPARED, Set.of(), outcome.revision());
        }
        if (outcome.is(409)) {
            return new Verification(Kind.COMPARED, outcome.failedGuards(), outcome.revision());
        }
        boolean busy = outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 429;
        return new Verification(busy ? Kind.BUSY : Kind.FAILED, Set.of(), 0);
    }
}
