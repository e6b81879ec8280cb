package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.model.Incarnation;

/**
 * This controller's own membership lease. The monotonic clock alone decides its validity: the lease is valid from the
 * moment at which the last successful renewal was sent, for its duration less a safety margin for clock drift and
 * timers.
 */
public final class Membership {
    /**
     * The lease duration divided by this number, 0.2% of it, is the safety margin for clock drift. Two clocks that
     * drift by up to 0.05% each may differ by 0.1%; the margin is twice that.
     */
    private static final long DRIFT_DIVISOR = 500;

    /** Allowance for the granularity of timers. */
    private static final Duration TIMER_MARGIN = Duration.ofMillis(50);

    private final Incarnation self;
    private final Duration leaseDuration;
    private Instant validUntil = Instant.MIN;

    public Membership(Incarnation self, Duration leaseDuration) {
        this.self = self;
        this.leaseDuration = leaseDuration;
    }

    /** The incarnation of this controller. */
    public Incarnation self() {
        return self;
    }

    /** How long the lease lasts from each renewal on. */
    public Duration leaseDuration() {
        return leaseDuration;
    }

    /** Records the grant or a renewal of the lease by a request that was sent at this moment. */
    public void onRenewed(Instant requestSentAt) {
        validUntil = requestSentAt
                .plus(leaseDuration)
                .minus(leaseDuration.dividedBy(DRIFT_DIVISOR))
                .minus(TIMER_MARGIN);
    }

    /** Records the end of the membership. */
    public void onLost() {
        validUntil = Instant.MIN;
    }

    /** Whether the lease has certainly not expired. */
    public boolean isLeaseValid(Instant now) {
        return now.isBefore(validUntil);
    }
}
