package org.gullway.coordination.model;

/**
 * The current fencing token of the cluster. When a shard of machines moves to another controller, its token is raised
 * above the former one: an agent that has confirmed a token refuses every command that carries an earlier token.
 */
public record FencingToken(long value) implements StoreRecord {
    /** The next higher token. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }
}
