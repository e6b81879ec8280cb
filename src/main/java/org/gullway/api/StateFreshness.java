package org.gullway.api;

import java.time.Instant;
import org.gullway.protocol.Count;

/**
 * Describes how a job's state became known and how recent it is. {@link LinearizableResponses} needs this to decide
 * whether a response may contain the state.
 *
 * @param source how the state became known
 * @param revision revision of the state store at which the state was read or written; 0 for a final state from memory
 * @param notOlderThan when the request to the state store that read or wrote the state was sent; the state was current
 *     at some moment from then on
 */
record StateFreshness(Source source, Count revision, Instant notOlderThan) {
    /** How a job's state became known. */
    enum Source {
        /** The job's final state was found in memory or in the state store; it never changes again. */
        FINAL_STATE,
        /** The state store confirmed that the cluster state has the newest versions of the job's keys. */
        VERSION_CHECK,
        /** The job's keys were read from the state store. */
        READ,
        /** This controller committed the job's record to the state store. */
        COMMIT
    }

    /** Returns the freshness of a final state from memory, which is fresh for every request. */
    static StateFreshness ofFinalState() {
        return new StateFreshness(Source.FINAL_STATE, Count.ZERO, Instant.MIN);
    }

    /** Returns whether a response to a request that arrived at {@code arrivedAt} may contain the state. */
    boolean isFreshFor(Instant arrivedAt) {
        return source == Source.FINAL_STATE || !notOlderThan.isBefore(arrivedAt);
    }
}
