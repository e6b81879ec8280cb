package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.model.Incarnation;

/**
 * This controller's own place among the members. It is trusted by the steady clock alone: from the moment at which
 * the last successful renewal was sent, for the lease's life less the clocks' drift.
 */
public final class Membership {
    /** Steady clocks may differ by 0.05% each; twice that, and a little for the timer steps. */
    private static final long DRIFT_DIVISOR = 500;

    private static final Duration CLOCK_SLACK = Duration.ofMillis(50);

    private final Incarnation self;
    private final Duration leaseDuration;
    private long lease;
    private Instant trustedUntil = Instant.MIN;

    public Membership(Incarnation self, Duration life) {
        this.self = self;
        this.leaseDuration = life;
    }

    public Incarnation self() {
        return self;
    }

    public Duration leaseDuration() {
        return leaseDuration;
    }

    public long lease() {
        return lease;
    }

    public void onJoined(long newLease, Instant requestSent) {
        lease = newLease;
        onRenewed(requestSent);
    }

    /** The lease was renewed by a request that was sent at this moment. */
    public void onRenewed(Instant requestSent) {
        trustedUntil = requestSent
                .plus(leaseDuration)
                .minus(leaseDuration.dividedBy(DRIFT_DIVISOR))
                .minus(CLOCK_SLACK);
    }

    public void onLost() {
        trustedUntil = Instant.MIN;
    }

    public boolean isLeaseValid(Instant now) {
        return now.isBefore(trustedUntil);
    }
}
