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
 * Messages between controllers: resource offers, attempt completions, and, while the state store does not respond,
 * known cancellations. Offers and completions are sent without waiting for a response: what gets lost is made up for by
 * later heartbeats.
 */
public final class PeerExchange {
    private static final Duration OUTAGE_POLL_INTERVAL = Duration.ofSeconds(1);
    private final EventLoop loop;
    private final PeerClient client;
    private final PeerMessageTargets targets;
    private final StoreOutageMonitor outageMonitor;
    private final CancellationExchange cancellationExchange;
    private final Runnable triggerSchedulingCycle;
    private Instant lastPolledAt = Instant.MIN;

    /**
     * @param targets the components that act on messages
     * @param storeKnownThrough when the last request that the state store has answered was sent
     * @param triggerSchedulingCycle requests a scheduling cycle, after every message that may give it something to do
     */
    public PeerExchange(
            EventLoop loop,
            HttpClient httpClient,
            Incarnation self,
            List<Settings.Peer> peers,
            PeerMessageTargets targets,
            Supplier<Instant> storeKnownThrough,
            Runnable triggerSchedulingCycle) {
        this.loop = loop;
        this.client = new PeerClient(httpClient, peers);
        this.targets = targets;
        this.outageMonitor = new StoreOutageMonitor(loop, client, storeKnownThrough);
        this.cancellationExchange = new CancellationExchange(loop, client, self, targets);
        this.triggerSchedulingCycle = triggerSchedulingCycle;
    }

    /** The names of all other controllers. */
    public Set<String> peerNames() {
        return client.names();
    }

    /** Handles a request of another controller. */
    public void handle(HttpExchange exchange) {
        targets.leaseRenewal().onExternalContact(loop.now());
        if (exchange.path().equals(PeerPaths.STORE_STATUS)) {
            outageMonitor.respond(exchange);
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
                acknowledgeAndTriggerCycle(exchange);
            }
            case PeerPaths.COMPLETIONS -> {
                targets.agentReconciler().onCompletions(AttemptCompletion.decode(exchange.body()), loop.now());
                acknowledgeAndTriggerCycle(exchange);
            }
            case PeerPaths.CANCELLATIONS -> cancellationExchange.respond(exchange);
            default -> exchange.respond(HttpStatus.NOT_FOUND);
        }
    }

    private void acknowledgeAndTriggerCycle(HttpExchange exchange) {
        exchange.respond(HttpStatus.OK);
        triggerSchedulingCycle.run();
    }

    /** Whether all other controllers have said lately that the state store does not respond to them either. */
    public boolean isStoreOutageConfirmedByAllPeers() {
        return outageMonitor.isConfirmedByAllPeers();
    }

    /** Offers free resources to a peer. */
    public void sendOffers(BestEffortQueue.OutgoingOffers outgoing) {
        client.sendOffers(outgoing.peer(), outgoing.offers());
    }

    /** Reports attempt completions to the writer of their jobs' records. */
    public void sendCompletions(String peer, List<AttemptCompletion> completions) {
        client.sendCompletions(peer, completions);
    }

    /**
     * Asks all other controllers, at limited intervals, whether the state store responds to them and which cancellations
     * they know. To be called while it does not respond to this one.
     */
    public void pollPeersDuringOutage(Instant now) {
        if (lastPolledAt.plus(OUTAGE_POLL_INTERVAL).isAfter(now)) {
            return;
        }
        lastPolledAt = now;
        outageMonitor.poll();
        cancellationExchange.poll(now);
    }
}
