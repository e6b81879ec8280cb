package org.gullway.coordination.model;

/**
 * The present fencing token of the cluster. It rises whenever a shard of machines gets another controller, so that an
 * agent that has confirmed a token refuses every command of an earlier one.
 */
public record FencingToken(long value) implements StoreRecord {
    /** The token after this one. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }
}
