package org.gullway.coordination.placement;

/** The tolerance for rounding errors when a sum of resource amounts is compared with a capacity. */
public final class ResourceTolerance {
    /**
     * A sum may exceed a capacity by this much and still fit. The value is far above the accumulated rounding error of
     * long floating-point sums and far below the smallest amount that a task may request.
     */
    public static final double EPSILON = 1e-6;

    private ResourceTolerance() {}
}
