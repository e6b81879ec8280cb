package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;

/**
 * Decides when this controller may send its next transaction: keeps its transactions within its share of the state
 * store's rate limits, and pauses between transactions.
 */
final class CommitPacing {
    private static final Duration CONTENTION_PERIOD = Duration.ofSeconds(10);
    private static final Duration REJECTION_PAUSE = Duration.ofMillis(120);
    private static final Duration CONFLICT_PAUSE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final ReplicatedState.StoreRateLimits rateLimits;
    private final TokenBucket changeLimit;
    private final TokenBucket requestLimit;
    private final Runnable onPauseEnded;
    private Instant pausedUntil = Instant.MIN;
    /**
     * Until this time the store counts as contended, and this controller uses only its contended share of the changes.
     */
    private Instant contendedUntil = Instant.MIN;

    CommitPacing(
            EventLoop loop,
            ReplicatedState.StoreRateLimits rateLimits,
            TokenBucket requestLimit,
            Runnable onPauseEnded) {
        this.loop = loop;
        this.rateLimits = rateLimits;
        this.changeLimit = new TokenBucket(loop, rateLimits.changesPerSecond());
        this.requestLimit = requestLimit;
        this.onPauseEnded = onPauseEnded;
    }

    /** See {@link ReplicatedState#setWriteShare}. */
    void setWriteShare(boolean leading) {
        changeLimit.setShare(
                loop.now().isBefore(contendedUntil)
                        ? rateLimits.contendedShare(leading)
                        : ReplicatedState.StoreRateLimits.UNCONTENDED_SHARE);
    }

    int availableChanges() {
        return changeLimit.availableTokens();
    }

    boolean hasSurplusChanges() {
        return changeLimit.hasSurplus();
    }

    boolean allowsCommit() {
        return !loop.now().isBefore(pausedUntil) && changeLimit.hasTokensForBatch();
    }

    /** Consumes the rate limit tokens of a transaction that is being sent. */
    void onSent(int changes) {
        changeLimit.consume(changes);
        requestLimit.consume(1);
    }

    void onCommitted() {
        pauseFor(requestLimit.batchingDelay());
    }

    void onConflict() {
        pauseFor(CONFLICT_PAUSE);
    }

    /** Handles a transaction that the store rejected, or never received, without comparing its conditions. */
    void onRejected(boolean rateLimited) {
        if (rateLimited) {
            contendedUntil = loop.now().plus(CONTENTION_PERIOD);
        }
        pauseFor(REJECTION_PAUSE);
    }

    private void pauseFor(Duration pause) {
        pausedUntil = loop.now().plus(pause);
        loop.after(pause, onPauseEnded);
    }
}
