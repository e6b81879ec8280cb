package org.gullway;

import java.util.concurrent.ThreadLocalRandom;

/** Hosts on loopback for servers of tests. */
final class LoopbackAddresses {
    private LoopbackAddresses() {}

    /** A host of its own in the loopback range; no outgoing connection takes its ports, since those come from 127.0.0.1. */
    static String host() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(1, 255);
    }

    /** The address at which a server listens on a port that the system chooses when it begins to listen. */
    static String anyPort() {
        return host() + ":0";
    }
}
