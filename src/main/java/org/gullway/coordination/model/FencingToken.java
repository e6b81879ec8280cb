package org.gullway.coordination.model;

/**
 * The current fencing token of the cluster. When a shard moves to another controller, the shard gets a token higher
 * than its former one: an agent that has confirmed a token refuses every command that carries an earlier token.
 */
public record FencingToken(long value) implements StoreRecord {
    /** The next higher token. */
    public FencingToken next() {
        return new FencingToken(value + 1);
    }
}
