package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;

/** Keeps transactions within what the store allows this controller, and pauses between them. */
final class CommitPacing {
    private static final Duration CONTENTION_MEMORY = Duration.ofSeconds(10);
    private static final Duration REFUSED_PAUSE = Duration.ofMillis(120);
    private static final Duration CONFLICT_PAUSE = Duration.ofMillis(20);

    private final EventLoop loop;
    private final ReplicatedState.StoreRateLimits rateLimits;
    private final TokenBucket changeLimit;
    private final TokenBucket requestLimit;
    private final Runnable onPauseOver;
    private Instant pausedUntil = Instant.MIN;
    /** Until then the store counts as contended, and this controller keeps to its fair share of the changes. */
    private Instant contendedUntil = Instant.MIN;

    CommitPacing(
            EventLoop loop,
            ReplicatedState.StoreRateLimits rateLimits,
            TokenBucket requestLimit,
            Runnable onPauseOver) {
        this.loop = loop;
        this.rateLimits = rateLimits;
        this.changeLimit = new TokenBucket(loop, rateLimits.changesPerSecond());
        this.requestLimit = requestLimit;
        this.onPauseOver = onPauseOver;
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
        return !loop.now().isBefore(pausedUntil) && changeLimit.hasBatch();
    }

    /** Counts a transaction that is being sent. */
    void onSent(int changes) {
        changeLimit.consume(changes);
        requestLimit.consume(1);
    }

    void onApplied() {
        pauseFor(requestLimit.batchingDelay());
    }

    void onConflict() {
        pauseFor(CONFLICT_PAUSE);
    }

    /** The store refused a transaction without comparing its conditions. */
    void onRefused(boolean rateLimited) {
        if (rateLimited) {
            contendedUntil = loop.now().plus(CONTENTION_MEMORY);
        }
        pauseFor(REFUSED_PAUSE);
    }

    private void pauseFor(Duration pause) {
        pausedUntil = loop.now().plus(pause);
        loop.after(pause, onPauseOver);
    }
}
