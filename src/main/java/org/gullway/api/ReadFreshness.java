package org.gullway.api;

import java.time.Instant;

/**
 * How a job's state became known, and since when it is known to hold: what makes a response with it linearizable.
 *
 * @param revision revision of the state store at which the state was read or written, 0 where that is not known
 * @param validFrom the state held at this moment or later: when the request that read or wrote it was sent
 */
record ReadFreshness(Source source, long revision, Instant validFrom) {
    /** How a state became known. */
    enum Source {
        /** The job's final state is on record; it never changes again. */
        FINAL_STATE,
        /** The state store confirmed that the key versions in the cluster state were the newest. */
        VERSION_CHECK,
        /** The job's keys were read. */
        READ,
        /** This controller committed the job's record. */
        COMMIT
    }

    /** The freshness of a final state, which is on record for good. */
    static ReadFreshness ofFinalState() {
        return new ReadFreshness(Source.FINAL_STATE, 0, Instant.MIN);
    }

    /** Whether the state is no older than a request that arrived at this moment. */
    boolean isFreshFor(Instant arrivedAt) {
        return source == Source.FINAL_STATE || !validFrom.isBefore(arrivedAt);
    }
}
