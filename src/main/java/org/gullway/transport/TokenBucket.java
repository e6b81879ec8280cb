package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the rate of this controller's requests to a service that has one rate limit for all controllers together.
 * Tokens accrue at a share of that limit, up to the tokens of one second. The shares of the controllers may add up to
 * more than the limit; the service rejects the requests beyond it.
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

    /** Sets the share of the service's limit that this controller may use. */
    public void setShare(double share) {
        tokensPerSecond = Math.max(1, limitPerSecond * share);
    }

    /** Returns the number of whole tokens that are available. */
    public int availableTokens() {
        return (int) Math.max(0, refill());
    }

    /** Returns whether at least half of the tokens of one second are available. */
    public boolean hasSurplus() {
        return refill() >= tokensPerSecond / SURPLUS_DIVISOR;
    }

    /** Returns whether a token is available. */
    public boolean hasToken() {
        return refill() >= 1;
    }

    /**
     * Returns whether there are enough tokens for a batch of requests: a quarter of the tokens of one second, and at
     * least one.
     */
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

    /**
     * Returns the time until a token is available, plus a short delay in which the caller can collect further requests
     * to send them together.
     */
    public Duration batchingDelay() {
        double missing = 1 - refill();
        return Duration.ofMillis(missing <= 0 ? BATCHING_MS : BATCHING_MS + (long) (1000 * missing / tokensPerSecond));
    }

    /** Returns the time until this number of tokens is available; zero if it is available already. */
    public Duration timeUntilAvailable(int count) {
        double missing = count - refill();
        return missing <= 0 ? Duration.ZERO : Duration.ofMillis((long) Math.ceil(1000 * missing / tokensPerSecond));
    }

    /** Takes tokens, even if there are not enough; later tokens first make up for the deficit. */
    public void consume(int count) {
        tokens -= count;
    }
}
