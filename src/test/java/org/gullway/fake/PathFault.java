package org.gullway.fake;

import java.util.random.RandomGenerator;
import org.gullway.transport.HttpRequest;

/** A fault of the network that strikes this share of the requests for one path. */
record PathFault(double share, String path) {
    static final PathFault NONE = new PathFault(0, "");

    /** Decides about one request; draws a random number only if the request is one of those concerned. */
    boolean strikes(HttpRequest request, RandomGenerator random) {
        return share > 0 && request.path().equals(path) && random.nextDouble() < share;
    }
}
