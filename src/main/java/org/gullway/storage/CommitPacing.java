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
    /** How long the contended share applies after the store has rejected a transaction because of its rate limit. */
    private static final Duration CONTENTION_PERIOD = Duration.ofSeconds(10);
    /** Pause after a transaction that was not applied for a reason other than failed conditions. */
    private static final Duration REJECTION_PAUSE = Duration.ofMillis(120);
    /** Pause after failed conditions or fencing if the watch has already reached the revision of that outcome. */
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

    /** See {@link ReplicatedState#updateChangeShare}. */
    void updateChangeShare(boolean leading) {
        changeLimit.setShare(
                loop.now().isBefore(contendedUntil)
                        ? rateLimits.contendedShare(leading)
                        : ReplicatedState.StoreRateLimits.UNCONTENDED_SHARE);
    }

    int availableChanges() {
        return changeLimit.availableTokens();
    }

    boolean hasSpareWriteCapacity() {
        return changeLimit.hasSurplus();
    }

    /**
     * Returns true if no pause is in progress and the change limit has a batch of tokens, a quarter of those of one
     * second. The request limit is not checked here; it determines the pause after a committed transaction.
     */
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

    /** Handles a transaction that was not applied for a reason other than failed conditions. */
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
