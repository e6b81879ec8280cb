package org.gullway.coordination.placement;

/** How far a sum of decimal resource amounts may exceed a capacity and still count as fitting. */
public final class ResourceTolerance {
    /** Far above the drift of long sums in binary floating point, far below the least amount that a task may ask for. */
    public static final double EPSILON = 1e-6;

    private ResourceTolerance() {}
}
