package org.gullway.coordination.model;

import org.gullway.protocol.Count;

/**
 * The current fencing token of the cluster. When a shard moves to another controller, the shard gets a token higher
 * than its former one: an agent that has confirmed a token refuses every command that carries an earlier token.
 */
public record FencingToken(Count value) implements StoreRecord {
    /** The token before the first one is on record. */
    public static final FencingToken NONE = new FencingToken(Count.ZERO);

    /**
     * The next higher token.
     *
     * @throws ArithmeticException if this is the highest token; a token that wraps would be refused by every agent
     */
    public FencingToken next() {
        return new FencingToken(value.next());
    }
}
