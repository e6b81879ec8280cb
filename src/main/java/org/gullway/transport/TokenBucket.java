package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * What this controller may ask of a service that limits all controllers together: a part of the limit, with as much
 * saved up as a second brings. The rest of the sharing is left to the service's refusals.
 */
public final class TokenBucket {
    private static final double DEFAULT_SHARE = 0.6;

    private final EventLoop loop;
    private final double limitPerSecond;
    private double tokensPerSecond;
    private double tokens;
    private Instant refilledAt;

    public TokenBucket(EventLoop loop, double limitPerSecond) {
        this(loop, limitPerSecond, DEFAULT_SHARE);
    }

    public TokenBucket(EventLoop loop, double limitPerSecond, double part) {
        this.loop = loop;
        this.limitPerSecond = limitPerSecond;
        setShare(part);
        this.tokens = tokensPerSecond;
        this.refilledAt = loop.now();
    }

    /** Changes the part of the limit that this controller may use. */
    public void setShare(double part) {
        tokensPerSecond = Math.max(1, limitPerSecond * part);
    }

    /** How much may be asked now without going below zero. */
    public int availableTokens() {
        return (int) Math.max(0, refill());
    }

    /** Whether much of what a second brings is unused. */
    public boolean hasSurplus() {
        return refill() >= tokensPerSecond / 2;
    }

    /** Whether anything may be asked now; spending may go below zero and is earned back. */
    public boolean hasToken() {
        return refill() >= 1;
    }

    /** Whether enough is left that several things can be asked for together. */
    public boolean hasBatch() {
        return refill() >= Math.max(1, tokensPerSecond / 4);
    }

    private double refill() {
        Instant now = loop.now();
        tokens = Math.min(
                tokensPerSecond, tokens + Duration.between(refilledAt, now).toMillis() / 1000.0 * tokensPerSecond);
        refilledAt = now;
        return tokens;
    }

    /** How long to wait until something may be asked; a little time gathers what comes together. */
    public Duration batchingDelay() {
        double missing = 1 - refill();
        return Duration.ofMillis(missing <= 0 ? 10 : 10 + (long) (1000 * missing / tokensPerSecond));
    }

    /** How long it takes until so much has been earned; zero if it is there. */
    public Duration timeUntilAvailable(int count) {
        double missing = count - refill();
        return missing <= 0 ? Duration.ZERO : Duration.ofMillis((long) Math.ceil(1000 * missing / tokensPerSecond));
    }

    public void consume(int count) {
        tokens -= count;
    }
}
