package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Addresses of processes are not taken between their choice and the start, and a failed start ends the run at once
 * with its cause.
 */
class SoakStartTest {
    private static final SoakRun.Length LONG = new SoakRun.Length(Duration.ofMinutes(2), Duration.ofMinutes(2));
    private static final Duration AT_ONCE = Duration.ofSeconds(20);

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static ServerSocket listen(String address, boolean reuse) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(reuse);
        socket.bind(parse(address));
        return socket;
    }

    @Test
    void reservedAddressIsAvailableOnlyToAServerThatReusesAddresses() throws IOException {
        try (ReservedAddress address = ReservedAddress.reserve()) {
            assertThatThrownBy(() -> listen(address.toString(), false).close()).isInstanceOf(BindException.class);
            try (ServerSocket server = listen(address.toString(), true)) {
                assertThat(server.isBound()).isTrue();
            }
        }
    }

    private static void assertEndsAtOnce(String cause, Consumer<LoopbackCluster> before) throws Exception {
        long began = System.nanoTime();
        SoakRun.Outcome outcome = SoakRun.play(1, LONG, before);
        assertThat(outcome.violations()).anySatisfy(broken -> assertThat(broken).contains(cause));
        assertThat(Duration.ofNanos(System.nanoTime() - began)).isLessThan(AT_ONCE);
    }

    @Test
    void aControllerWhosePortIsTakenEndsTheRunWithItsCause() throws Exception {
        ServerSocket[] taken = new ServerSocket[1];
        try {
            assertEndsAtOnce("cannot listen on", cluster -> {
                try {
                    taken[0] = listen(cluster.peerAddress("perch-1"), true);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } finally {
            taken[0].close();
        }
    }

    @Test
    void aStandInThatCannotStartEndsTheRunWithItsCause() throws Exception {
        assertEndsAtOnce("the run could not start: java.lang.IllegalStateException: port taken", cluster -> {
            throw new IllegalStateException("port taken");
        });
    }
}
