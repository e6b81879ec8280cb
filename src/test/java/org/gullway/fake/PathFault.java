package org.gullway.fake;

import java.util.random.RandomGenerator;
import org.gullway.transport.HttpRequest;

/** A network fault that affects a random share of the requests for one path. */
record PathFault(double share, String path) {
    static final PathFault NONE = new PathFault(0, "");

    /**
     * Decides whether the fault affects the request. Draws a random number only if the fault is active and the path
     * matches.
     */
    boolean affects(HttpRequest request, RandomGenerator random) {
        return share > 0 && request.path().equals(path) && random.nextDouble() < share;
    }
}
