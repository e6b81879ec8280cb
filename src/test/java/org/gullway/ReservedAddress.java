package org.gullway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * An address on loopback for a process that is still to be started. It is held by a socket that is bound and does not
 * listen: the system gives its port to nobody else, and a server that reuses addresses, as controllers do, can listen.
 */
final class ReservedAddress implements AutoCloseable {
    private final Socket socket = new Socket();
    private final String address;

    private ReservedAddress() throws IOException {
        String host = LoopbackAddresses.host();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, 0));
        address = host + ":" + socket.getLocalPort();
    }

    /** Holds an address that nobody uses. */
    static ReservedAddress reserve() {
        try {
            return new ReservedAddress();
        } catch (IOException e) {
            throw new UncheckedIOException("no free address on loopback", e);
        }
    }

    /** Host and port. */
    @Override
    public String toString() {
        return address;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
