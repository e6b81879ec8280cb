package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.model.Incarnation;

/**
 * This controller's own membership lease. Its validity is decided by the monotonic clock alone: from the moment at which
 * the last successful renewal was sent, for the lease's duration less the drift between clocks.
 */
public final class Membership {
    /** Twice the drift that two monotonic clocks may have, which is 0.05% each. */
    private static final long DRIFT_DIVISOR = 500;

    /** Allows for the granularity of timers. */
    private static final Duration TIMER_MARGIN = Duration.ofMillis(50);

    private final Incarnation self;
    private final Duration leaseDuration;
    private long leaseId;
    private Instant validUntil = Instant.MIN;

    public Membership(Incarnation self, Duration leaseDuration) {
        this.self = self;
        this.leaseDuration = leaseDuration;
    }

    /** This run of this controller. */
    public Incarnation self() {
        return self;
    }

    /** How long the lease lasts from each renewal on. */
    public Duration leaseDuration() {
        return leaseDuration;
    }

    /** Id of the current or last lease in the state store; 0 before the first. */
    public long leaseId() {
        return leaseId;
    }

    /** A membership has begun, on a lease that was requested at this moment. */
    public void onJoined(long newLeaseId, Instant requestSentAt) {
        leaseId = newLeaseId;
        onRenewed(requestSentAt);
    }

    /** The lease was renewed by a request that was sent at this moment. */
    public void onRenewed(Instant requestSentAt) {
        validUntil = requestSentAt
                .plus(leaseDuration)
                .minus(leaseDuration.dividedBy(DRIFT_DIVISOR))
                .minus(TIMER_MARGIN);
    }

    /** The membership has ended. */
    public void onLost() {
        validUntil = Instant.MIN;
    }

    /** Whether the lease has certainly not expired. */
    public boolean isLeaseValid(Instant now) {
        return now.isBefore(validUntil);
    }
}
