package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the rate at which this controller uses a service that limits all controllers together. Tokens accrue at a share of the
 * limit and are saved up for a second at most. What the controllers exceed together the service rejects.
 */
public final class TokenBucket {
    private static final double DEFAULT_SHARE = 0.6;
    private static final int SURPLUS_DIVISOR = 2;
    private static final int BATCH_DIVISOR = 4;
    private static final int BATCHING_MS = 10;

    private final EventLoop loop;
    private final double limitPerSecond;
    private double tokensPerSecond;
    private double tokens;
    private Instant refilledAt;

    public TokenBucket(EventLoop loop, double limitPerSecond) {
        this(loop, limitPerSecond, DEFAULT_SHARE);
    }

    public TokenBucket(EventLoop loop, double limitPerSecond, double share) {
        this.loop = loop;
        this.limitPerSecond = limitPerSecond;
        setShare(share);
        this.tokens = tokensPerSecond;
        this.refilledAt = loop.now();
    }

    /** Changes the share of the limit that this controller may use. */
    public void setShare(double share) {
        tokensPerSecond = Math.max(1, limitPerSecond * share);
    }

    /** How many whole tokens there are now. */
    public int availableTokens() {
        return (int) Math.max(0, refill());
    }

    /** Whether at least half of the tokens of a second are unused. */
    public boolean hasSurplus() {
        return refill() >= tokensPerSecond / SURPLUS_DIVISOR;
    }

    /** Whether there is a token; consumption may go below zero, which later tokens make up for. */
    public boolean hasToken() {
        return refill() >= 1;
    }

    /** Whether there are tokens for several requests together: a quarter of those of a second. */
    public boolean hasTokensForBatch() {
        return refill() >= Math.max(1, tokensPerSecond / BATCH_DIVISOR);
    }

    private double refill() {
        Instant now = loop.now();
        tokens = Math.min(
                tokensPerSecond, tokens + Duration.between(refilledAt, now).toMillis() / 1000.0 * tokensPerSecond);
        refilledAt = now;
        return tokens;
    }

    /** How long to wait for a token, and a little more, so that requests that arrive together are sent together. */
    public Duration batchingDelay() {
        double missing = 1 - refill();
        return Duration.ofMillis(missing <= 0 ? BATCHING_MS : BATCHING_MS + (long) (1000 * missing / tokensPerSecond));
    }

    /** How long it takes until so many tokens have accrued; zero if they are there. */
    public Duration timeUntilAvailable(int count) {
        double missing = count - refill();
        return missing <= 0 ? Duration.ZERO : Duration.ofMillis((long) Math.ceil(1000 * missing / tokensPerSecond));
    }

    public void consume(int count) {
        tokens -= count;
    }
}
