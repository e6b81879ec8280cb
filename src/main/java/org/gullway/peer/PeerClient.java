package org.gullway.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.CancellationQuery;
import org.gullway.protocol.ResourceOffer;
import org.gullway.protocol.Settings;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;

/** Sends requests to the other controllers. */
final class PeerClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final HttpClient httpClient;
    private final Map<String, String> addressByName = new HashMap<>();

    PeerClient(HttpClient httpClient, List<Settings.Peer> peers) {
        this.httpClient = httpClient;
        peers.forEach(peer -> addressByName.put(peer.name(), peer.address()));
    }

    Set<String> names() {
        return addressByName.keySet();
    }

    /** Sends resource offers and ignores the response. Does nothing if the peer is not configured. */
    void sendOffers(String peer, List<ResourceOffer> offers) {
        send(peer, PeerPaths.OFFERS, ResourceOffer.encode(offers));
    }

    /**
     * Sends attempt completions, in several messages if necessary, and ignores the responses. Does nothing if the peer
     * is not configured.
     */
    void sendCompletions(String peer, List<AttemptCompletion> completions) {
        for (int from = 0; from < completions.size(); from += AttemptCompletion.MAX_PER_MESSAGE) {
            int to = Math.min(completions.size(), from + AttemptCompletion.MAX_PER_MESSAGE);
            send(peer, PeerPaths.COMPLETIONS, AttemptCompletion.encode(completions.subList(from, to)));
        }
    }

    private void send(String peer, String path, byte[] body) {
        String address = addressByName.get(peer);
        if (address != null) {
            httpClient.call(address, HttpRequest.post(path, body, TIMEOUT), response -> {});
        }
    }

    /** Asks every peer whether the state store responds to it. The callback receives each peer's name and response. */
    void queryStoreStatus(BiConsumer<String, HttpResponse> callback) {
        HttpRequest request = HttpRequest.get(PeerPaths.STORE_STATUS, TIMEOUT);
        addressByName.forEach(
                (peer, address) -> httpClient.call(address, request, response -> callback.accept(peer, response)));
    }

    /**
     * Asks a peer, which must be configured, for cancellations that this controller does not know. The callback
     * receives the peer's response.
     */
    void queryCancellations(String peer, CancellationQuery query, Consumer<HttpResponse> callback) {
        HttpRequest request = HttpRequest.post(PeerPaths.CANCELLATIONS, query.encode(), TIMEOUT);
        httpClient.call(addressByName.get(peer), request, callback);
    }
}
