package org.gullway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/** Free addresses on loopback. */
final class LoopbackAddresses {
    private static final int TRIES = 20;

    private LoopbackAddresses() {}

    /**
     * An address of its own in the loopback range with a port that the system chose. No outgoing connection takes the
     * port meanwhile, since those come from 127.0.0.1.
     */
    static String free() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        IOException last = null;
        for (int i = 0; i < TRIES; i++) {
            String host = "127." + random.nextInt(1, 255) + "." + random.nextInt(255) + "." + random.nextInt(1, 255);
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                return host + ":" + socket.getLocalPort();
            } catch (IOException e) {
                last = e;
            }
        }
        throw new UncheckedIOException("no free address on loopback", last);
    }
}
