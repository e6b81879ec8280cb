package org.gullway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback address that is reserved for a process that starts later. A socket that is bound but does not listen
 * reserves the port: the operating system assigns it to no other socket, while a server that sets SO_REUSEADDR, as
 * controllers do, can still listen on it.
 */
final class ReservedAddress implements AutoCloseable {
    private final Socket socket = new Socket();
    private final String address;

    private ReservedAddress() throws IOException {
        String host = LoopbackAddresses.randomHost();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(host, 0));
        address = host + ":" + socket.getLocalPort();
    }

    /** Reserves an address that no socket uses. */
    static ReservedAddress reserve() {
        try {
            return new ReservedAddress();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot bind a socket to a loopback address", e);
        }
    }

    /** Returns the address as "host:port". */
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
