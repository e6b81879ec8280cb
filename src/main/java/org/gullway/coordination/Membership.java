package org.gullway.coordination;

import java.time.Duration;
import java.time.Instant;

/**
 * This controller's own place among the members. It is trusted by the steady clock alone: from the moment at which
 * the last successful renewal was sent, for the lease's life less the clocks' drift.
 */
public final class Membership {
    /** Steady clocks may differ by 0.05% each; twice that, and a little for the timer steps. */
    private static final long DRIFT_DIVISOR = 500;

    private static final Duration SLACK = Duration.ofMillis(50);

    private final Incarnation self;
    private final Duration life;
    private long lease;
    private Instant trustedUntil = Instant.MIN;

    public Membership(Incarnation self, Duration life) {
        this.self = self;
        this.life = life;
    }

    public Incarnation self() {
        return self;
    }

    public Duration life() {
        return life;
    }

    public long lease() {
        return lease;
    }

    public void joined(long newLease, Instant requestSent) {
        lease = newLease;
        renewed(requestSent);
    }

    public void renewed(Instant requestSent) {
        trustedUntil =
                requestSent.plus(life).minus(life.dividedBy(DRIFT_DIVISOR)).minus(SLACK);
    }

    public void lost() {
        trustedUntil = Instant.MIN;
    }

    public boolean trusted(Instant now) {
        return now.isBefore(trustedUntil);
    }
}
