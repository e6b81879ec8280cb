package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MessageLimits;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

/** Sends heartbeats that list more attempts than a message may hold to a controller in a process of its own. */
class OversizedHeartbeatTest {
    private static final int LISTED_ATTEMPTS = 2400;
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(4);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);
    private static final int TEST_TIMEOUT_SECONDS = 40;

    private static byte[] heartbeat() {
        ObjectNode node = Cbor.map()
                .put("perch", "vm-000900")
                .put("endpoint", "127.0.0.1:9")
                .put("breed", "large")
                .put("shore", "a")
                .put("driftwood", false)
                .put("flight", 1)
                .put("tally", 1)
                .put("baton", 0)
                .putNull("warning_s");
        ArrayNode attempts = node.putArray("legs");
        for (int i = 0; i < LISTED_ATTEMPTS; i++) {
            attempts.addObject().put("leg", "run-000001/" + i).put("launch", 1).put("tide", "running");
        }
        return Cbor.encode(node);
    }

    /** Completes with the first status other than 503, which a controller that has not joined yet answers. */
    private static void sendUntilDecided(
            LoopbackCluster cluster, HttpClient client, byte[] body, CompletableFuture<Integer> status) {
        client.call(
                cluster.publicAddresses().get(0),
                HttpRequest.post("/agent/beat", body, HEARTBEAT_TIMEOUT),
                response -> {
                    if (response.status() == 0 || response.status() == HttpStatus.SERVICE_UNAVAILABLE) {
                        cluster.loop.after(RETRY_DELAY, () -> sendUntilDecided(cluster, client, body, status));
                    } else {
                        status.complete(response.status());
                    }
                });
    }

    /** Guards against an overfull machine that loses its lease and all its tasks because its heartbeats are rejected. */
    @Test
    void theLeaseOfAnAgentWithTooManyAttemptsIsRenewed() throws Exception {
        byte[] body = heartbeat();
        assertThat(body.length).isGreaterThan(MessageLimits.MAX_MESSAGE_BYTES);
        CompletableFuture<Integer> status = new CompletableFuture<>();
        try (LoopbackCluster cluster = new LoopbackCluster(
                1,
                LoopbackCluster.Setup.small(),
                cause -> status.completeExceptionally(new IllegalStateException(cause)),
                (name, kind) -> {
                    throw new IllegalStateException("no machine is needed");
                })) {
            cluster.loop.execute(() -> {
                cluster.start();
                sendUntilDecided(cluster, cluster.userClient(), body, status);
            });
            assertThat(status.get(TEST_TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo(HttpStatus.OK);
        }
    }
}
