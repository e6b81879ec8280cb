package org.gullway.api;

import java.time.Instant;

/**
 * Why a job's state may be told to a user.
 *
 * @param source how the state became known
 * @param revision revision of the state service at which it was read or written, 0 where that is not known
 * @param validFrom the state held at this moment or later: when the request that read or wrote it was sent
 */
record ReadFreshness(Source source, long revision, Instant validFrom) {
    /** How a state became known. */
    enum Source {
        /** The job's final state is on record; it never changes again. */
        FINAL_STATE,
        /** The state service confirmed that the view's marks were the newest. */
        VERIFICATION,
        /** The job's records were read. */
        READING,
        /** This controller committed the job's record. */
        COMMIT
    }

    /** The evidence of a final state, which was told or recorded before and holds for good. */
    static ReadFreshness ofFinalState() {
        return new ReadFreshness(Source.FINAL_STATE, 0, Instant.MIN);
    }

    /** Whether the evidence is not older than a request that came at this moment. */
    boolean covers(Instant came) {
        return source == Source.FINAL_STATE || !validFrom.isBefore(came);
    }
}
