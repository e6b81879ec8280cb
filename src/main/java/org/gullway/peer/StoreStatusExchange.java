package org.gullway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;
import org.gullway.coordination.membership.StoreOutageDetector;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/**
 * Exchanges with the other controllers whether the state store responds to each of them, to recognize an outage that
 * affects all controllers.
 */
final class StoreStatusExchange {
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private final EventLoop loop;
    private final PeerClient client;
    private final Supplier<Instant> storeKnownThrough;
    private final StoreOutageDetector outageDetector;

    /**
     * @param storeKnownThrough returns the send time of the last watch or full read that the state store has answered
     */
    StoreStatusExchange(EventLoop loop, PeerClient client, Supplier<Instant> storeKnownThrough) {
        this.loop = loop;
        this.client = client;
        this.storeKnownThrough = storeKnownThrough;
        this.outageDetector = new StoreOutageDetector(client.names());
    }

    /** Responds with 200 if the state store responds to this controller, and with 503 otherwise. */
    void respond(HttpExchange exchange) {
        if (StoreOutageDetector.isStoreUnreachable(storeKnownThrough.get(), loop.now())) {
            exchange.reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
        } else {
            exchange.respond(HttpStatus.OK);
        }
    }

    /** Asks all peers whether the state store responds to them. */
    void poll() {
        client.queryStoreStatus(this::onResponse);
    }

    private void onResponse(String peer, HttpResponse response) {
        if (response.outcome() == HttpResponse.Outcome.ANSWERED
                && response.status() == HttpStatus.SERVICE_UNAVAILABLE) {
            outageDetector.onPeerReportedOutage(peer, loop.now());
        }
    }

    /** Returns whether all peers have recently reported that the state store does not respond to them. */
    boolean isReportedByAllPeers() {
        return outageDetector.isReportedByAllPeers(loop.now());
    }
}
