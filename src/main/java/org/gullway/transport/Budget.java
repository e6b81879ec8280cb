package org.gullway.transport;

import java.time.Duration;
import java.time.Instant;

/**
 * What this controller may ask of a service that limits all controllers together: a part of the limit, with as much
 * saved up as a second brings. The rest of the sharing is left to the service's refusals.
 */
public final class Budget {
    private static final double PART = 0.6;

    private final EventLoop loop;
    private final double limitPerSecond;
    private double perSecond;
    private double left;
    private Instant at;

    public Budget(EventLoop loop, double limitPerSecond) {
        this(loop, limitPerSecond, PART);
    }

    public Budget(EventLoop loop, double limitPerSecond, double part) {
        this.loop = loop;
        this.limitPerSecond = limitPerSecond;
        take(part);
        this.left = perSecond;
        this.at = loop.now();
    }

    /** Changes the part of the limit that this controller may use. */
    public void take(double part) {
        perSecond = Math.max(1, limitPerSecond * part);
    }

    /** How much may be asked now without going below zero. */
    public int left() {
        return (int) Math.max(0, earn());
    }

    /** Whether much of what a second brings is unused. */
    public boolean plenty() {
        return earn() >= perSecond / 2;
    }

    /** Whether anything may be asked now; spending may go below zero and is earned back. */
    public boolean available() {
        return earn() >= 1;
    }

    /** Whether enough is left that several things can be asked for together. */
    public boolean gathered() {
        return earn() >= Math.max(1, perSecond / 4);
    }

    private double earn() {
        Instant now = loop.now();
        left = Math.min(perSecond, left + Duration.between(at, now).toMillis() / 1000.0 * perSecond);
        at = now;
        return left;
    }

    /** How long to wait until something may be asked; a little time gathers what comes together. */
    public Duration pause() {
        double missing = 1 - earn();
        return Duration.ofMillis(missing <= 0 ? 10 : 10 + (long) (1000 * missing / perSecond));
    }

    /** How long it takes until so much has been earned; zero if it is there. */
    public Duration waitFor(int count) {
        double missing = count - earn();
        return missing <= 0 ? Duration.ZERO : Duration.ofMillis((long) Math.ceil(1000 * missing / perSecond));
    }

    public void spend(int count) {
        left -= count;
    }
}
