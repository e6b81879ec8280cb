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
 * Guards against two faults of the soak run. First, another socket could bind the address of a controller after the
 * address was chosen and before the controller's process listens on it. Second, a run whose start fails could go on for
 * its full duration and then end without the cause.
 */
class SoakStartTest {
    private static final SoakRun.Durations LONG = new SoakRun.Durations(Duration.ofMinutes(2), Duration.ofMinutes(2));
    private static final Duration MAX_TIME_TO_FAILURE = Duration.ofSeconds(20);

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static ServerSocket listen(String address, boolean reuseAddress) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(reuseAddress);
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

    private static void assertFailsEarly(String cause, Consumer<LoopbackCluster> beforeStart) throws Exception {
        long startNanos = System.nanoTime();
        SoakRun.Outcome outcome = SoakRun.run(1, LONG, beforeStart);
        assertThat(outcome.violations())
                .anySatisfy(violation -> assertThat(violation).contains(cause));
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(MAX_TIME_TO_FAILURE);
    }

    @Test
    void portInUseByAnotherServerEndsTheRunEarlyWithItsCause() throws Exception {
        ServerSocket[] otherServer = new ServerSocket[1];
        try {
            assertFailsEarly("cannot listen on", cluster -> {
                try {
                    otherServer[0] = listen(cluster.peerAddress("perch-1"), true);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } finally {
            otherServer[0].close();
        }
    }

    @Test
    void exceptionBeforeTheStartEndsTheRunEarlyWithItsCause() throws Exception {
        assertFailsEarly("the run could not start: java.lang.IllegalStateException: port taken", cluster -> {
            throw new IllegalStateException("port taken");
        });
    }
}
