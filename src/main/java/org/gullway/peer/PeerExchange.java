package org.gullway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.ResourceOffer;
import org.gullway.protocol.Settings;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpStatus;

/**
 * Exchanges messages with the other controllers: resource offers, attempt completions, known cancellations and reports
 * of whether the state store responds. A controller asks for the last two while it holds no valid lease. Responses to
 * offers and completions are ignored: if a message is lost, later heartbeats show the same free resources or ended
 * attempts again.
 */
public final class PeerExchange {
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);
    private final EventLoop loop;
    private final PeerClient client;
    private final PeerMessageTargets targets;
    private final StoreStatusExchange storeStatusExchange;
    private final CancellationExchange cancellationExchange;
    private final Runnable requestCycle;
    private Instant lastPolledAt = Instant.MIN;

    /**
     * @param targets the components that process messages of other controllers
     * @param storeKnownThrough returns the send time of the last watch or full read that the state store has answered
     * @param requestCycle requests a scheduling cycle; called after every message that may require one
     */
    public PeerExchange(
            EventLoop loop,
            HttpClient httpClient,
            Incarnation self,
            List<Settings.Peer> peers,
            PeerMessageTargets targets,
            Supplier<Instant> storeKnownThrough,
            Runnable requestCycle) {
        this.loop = loop;
        this.client = new PeerClient(httpClient, peers);
        this.targets = targets;
        this.storeStatusExchange = new StoreStatusExchange(loop, client, storeKnownThrough);
        this.cancellationExchange = new CancellationExchange(loop, client, self, targets);
        this.requestCycle = requestCycle;
    }

    /** Returns the names of all other controllers. */
    public Set<String> peerNames() {
        return client.names();
    }

    /** Handles a request from another controller. */
    public void handle(HttpExchange exchange) {
        targets.leaseRenewal().onExternalContact(loop.now());
        if (exchange.path().equals(PeerPaths.STORE_STATUS)) {
            storeStatusExchange.respond(exchange);
            return;
        }
        try {
            handleMessage(exchange);
        } catch (MalformedMessageException e) {
            exchange.respond(HttpStatus.BAD_REQUEST);
        }
    }

    private void handleMessage(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        switch (exchange.path()) {
            case PeerPaths.OFFERS -> {
                targets.bestEffortQueue().onOffers(ResourceOffer.decode(exchange.body()), loop.now());
                acknowledgeAndRequestCycle(exchange);
            }
            case PeerPaths.COMPLETIONS -> {
                targets.agentReconciler().onCompletions(AttemptCompletion.decode(exchange.body()), loop.now());
                acknowledgeAndRequestCycle(exchange);
            }
            case PeerPaths.CANCELLATIONS -> cancellationExchange.respond(exchange);
            default -> exchange.respond(HttpStatus.NOT_FOUND);
        }
    }

    private void acknowledgeAndRequestCycle(HttpExchange exchange) {
        exchange.respond(HttpStatus.OK);
        requestCycle.run();
    }

    /** Returns whether all other controllers have recently reported that the state store does not respond to them. */
    public boolean isStoreOutageReportedByAllPeers() {
        return storeStatusExchange.isReportedByAllPeers();
    }

    /** Offers free resources to another controller. */
    public void sendOffers(BestEffortQueue.OutgoingOffers outgoing) {
        client.sendOffers(outgoing.peer(), outgoing.offers());
    }

    /** Reports attempt completions to the controller that writes the records of their jobs. */
    public void sendCompletions(String peer, List<AttemptCompletion> completions) {
        client.sendCompletions(peer, completions);
    }

    /**
     * Asks all other controllers whether the state store responds to them and which cancellations they know. Called
     * while this controller holds no valid lease. A call within {@link #POLL_INTERVAL} of the previous poll does
     * nothing.
     */
    public void pollPeersIfDue(Instant now) {
        if (lastPolledAt.plus(POLL_INTERVAL).isAfter(now)) {
            return;
        }
        lastPolledAt = now;
        storeStatusExchange.poll();
        cancellationExchange.poll(now);
    }
}
