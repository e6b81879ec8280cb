package org.gullway.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient.Version;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Uses real sockets. Guards against a faulty request that stops the server or breaks other connections. */
class HttpServerTest {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final String PATH_OF_LARGE_BODIES = "/large";

    private final XnioWorker worker;
    private final String address = "127.7." + ThreadLocalRandom.current().nextInt(1, 255) + "."
            + ThreadLocalRandom.current().nextInt(1, 255) + ":18090";
    private final java.net.http.HttpClient client = java.net.http.HttpClient.newBuilder()
            .version(Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    HttpServerTest() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.THREAD_DAEMON, true));
        HttpServer.start(
                worker,
                new DefaultByteBufferPool(false, 8192),
                new SocketBudget(1000),
                address,
                path -> path.equals(PATH_OF_LARGE_BODIES) ? 3 * MAX_BODY_BYTES : MAX_BODY_BYTES,
                exchange -> {
                    if (exchange.path().equals("/fails")) {
                        throw new IllegalStateException("deliberate failure of the handler");
                    }
                    exchange.respond(exchange.body() == null ? 400 : 200, new byte[0]);
                });
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private int post(String path, HttpRequest.BodyPublisher body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(10))
                .POST(body)
                .build();
        HttpResponse<Void> response = client.send(request, BodyHandlers.discarding());
        return response.statusCode();
    }

    @Test
    void bodiesOverTheLimitAreRejectedAndLaterRequestsServed() throws Exception {
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[MAX_BODY_BYTES])))
                .isEqualTo(200);
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[MAX_BODY_BYTES + 1])))
                .isEqualTo(400);
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[10]))).isEqualTo(200);
    }

    /** Without a Content-Length the server detects an excessive body only while reading it. */
    @Test
    void chunkedBodiesOverTheLimitAreRejectedAndLaterRequestsServed() throws Exception {
        for (int size : new int[] {MAX_BODY_BYTES + 1, 3 * MAX_BODY_BYTES}) {
            assertThat(post("/", BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(new byte[size]))))
                    .isEqualTo(400);
        }
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[10]))).isEqualTo(200);
    }

    /** Guards against heartbeats that are rejected, so that the agent loses its lease and its tasks. */
    @Test
    void aPathCanHaveALimitOfItsOwn() throws Exception {
        assertThat(post(PATH_OF_LARGE_BODIES, BodyPublishers.ofByteArray(new byte[3 * MAX_BODY_BYTES])))
                .isEqualTo(200);
        assertThat(post(PATH_OF_LARGE_BODIES, BodyPublishers.ofByteArray(new byte[3 * MAX_BODY_BYTES + 1])))
                .isEqualTo(400);
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[3 * MAX_BODY_BYTES])))
                .isEqualTo(400);
    }

    @Test
    void aHandlerExceptionIsAnsweredWith503AndLaterRequestsAreServed() throws Exception {
        assertThat(post("/fails", BodyPublishers.ofByteArray(new byte[10]))).isEqualTo(503);
        assertThat(post("/", BodyPublishers.ofByteArray(new byte[10]))).isEqualTo(200);
    }
}
