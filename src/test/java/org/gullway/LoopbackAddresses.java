package org.gullway;

import java.util.concurrent.ThreadLocalRandom;

/** Random loopback addresses for the servers of tests. */
final class LoopbackAddresses {
    private LoopbackAddresses() {}

    /**
     * A random host in the loopback range. Outgoing connections on loopback have the source address 127.0.0.1 by
     * default, so that they occupy no port of this host.
     */
    static String randomHost() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(1, 255);
    }

    /** An address with port 0: the operating system chooses the port when a server starts to listen. */
    static String addressWithAnyPort() {
        return randomHost() + ":0";
    }
}
