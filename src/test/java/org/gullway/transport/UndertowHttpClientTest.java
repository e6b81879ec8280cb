package org.gullway.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Uses real sockets. Guards against a request that gets no outcome, or that breaks other requests. */
class UndertowHttpClientTest {
    private static final int SOCKETS = 100;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private static final String LARGE_PATH = "/large";
    private static final int LARGE_BODY_BYTES = 3_000_000;

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final UndertowHttpClient client;
    private final String serverAddress;

    UndertowHttpClientTest() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        loop = new XnioEventLoop(worker.getIoThread());
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8192);
        SocketBudget socketBudget = new SocketBudget(SOCKETS);
        client = new UndertowHttpClient(loop, buffers, socketBudget, Set.of());
        serverAddress =
                HttpServer.start(worker, buffers, socketBudget, "127.0.0.1:0", 1000, UndertowHttpClientTest::respond);
    }

    private static void respond(HttpExchange exchange) {
        exchange.respond(HttpStatus.OK, new byte[exchange.path().equals(LARGE_PATH) ? LARGE_BODY_BYTES : 0]);
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    /** Sends requests to all addresses from one task of the loop, and returns the outcomes. */
    private List<HttpResponse.Outcome> call(List<String> addresses) throws Exception {
        List<CompletableFuture<HttpResponse>> responses = new ArrayList<>();
        addresses.forEach(address -> responses.add(new CompletableFuture<>()));
        loop.execute(() -> {
            for (int i = 0; i < addresses.size(); i++) {
                client.call(addresses.get(i), HttpRequest.get("/", TIMEOUT), responses.get(i)::complete);
            }
        });
        List<HttpResponse.Outcome> outcomes = new ArrayList<>();
        for (CompletableFuture<HttpResponse> response : responses) {
            outcomes.add(response.get(TIMEOUT.toSeconds() - 1, TimeUnit.SECONDS).outcome());
        }
        return outcomes;
    }

    /**
     * Guards against an exception for an address that an agent has sent: it kept the commands to all other agents from
     * being sent, and they counted as in flight for good.
     */
    @Test
    void invalidAddressIsNotSentToAndLaterRequestsOfTheSameTaskAreSent() throws Exception {
        for (String invalid : List.of(
                "10.1.0.1:90 00", "no port", "10.1.0.1:99999", "10.1.0.1:-1", "", "a_b:80", "[::1:9000", "\uD83D:80")) {
            assertThat(call(List.of(invalid, serverAddress)))
                    .as(invalid)
                    .containsExactly(HttpResponse.Outcome.NOT_SENT, HttpResponse.Outcome.ANSWERED);
        }
    }

    /** Guards against a response that uses up the memory, and against sockets that are lost to such responses. */
    @Test
    void responsesBeyondTheLimitOfTheRequestAreDropped() throws Exception {
        for (int i = 0; i < 2 * SOCKETS; i++) {
            HttpRequest request = HttpRequest.get(LARGE_PATH, TIMEOUT).withMaxResponseBytes(LARGE_BODY_BYTES - 1);
            assertThat(call(request).outcome()).isEqualTo(HttpResponse.Outcome.TOO_LARGE);
        }
        HttpRequest request = HttpRequest.get(LARGE_PATH, TIMEOUT).withMaxResponseBytes(LARGE_BODY_BYTES);
        assertThat(call(request).body()).hasSize(LARGE_BODY_BYTES);
    }

    private HttpResponse call(HttpRequest request) throws Exception {
        CompletableFuture<HttpResponse> response = new CompletableFuture<>();
        loop.execute(() -> client.call(serverAddress, request, response::complete));
        return response.get(TIMEOUT.toSeconds() - 1, TimeUnit.SECONDS);
    }

    /** Guards against sockets of the budget that are lost to connections that were never attempted. */
    @Test
    void invalidAddressesDoNotUseUpTheSocketBudget() throws Exception {
        for (int i = 0; i < 3 * SOCKETS; i++) {
            assertThat(call(List.of("10.1.0.1:90 " + i))).containsExactly(HttpResponse.Outcome.NOT_SENT);
        }
        assertThat(call(List.of(serverAddress))).containsExactly(HttpResponse.Outcome.ANSWERED);
    }
}
