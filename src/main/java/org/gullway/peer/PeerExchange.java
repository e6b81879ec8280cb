package org.gullway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.membership.StoreOutageDetector;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.protocol.AttemptCompletion;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.PeerCancellations;
import org.gullway.protocol.ResourceOffer;
import org.gullway.protocol.Settings;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Messages between controllers: offers of spare room, ends of attempts, and the cancellations that each knows. Offers
 * and ends go out without waiting for an answer; one that is lost is made good by later reports.
 */
public final class PeerExchange {
    private static final Logger LOG = LoggerFactory.getLogger(PeerExchange.class);
    private static final String OFFERS = "/offers";
    private static final String ENDS = "/ends";
    private static final String CANCELLED = "/cancelled";
    /** A peer's question whether the state service answers this controller, and the status that denies it. */
    private static final String STATE_QUESTION = "/state";

    private static final int WITHOUT_STATE = 503;
    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final Duration ASK_EVERY = Duration.ofSeconds(1);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final HttpClient httpClient;
    private final Incarnation self;
    private final BestEffortQueue bestEffortQueue;
    private final AgentReconciler agentReconciler;
    private final CancellationEnforcer cancellationEnforcer;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    private final Supplier<Instant> stateKnownUntil;
    private final StoreOutageDetector outageDetector;
    private final Runnable schedule;
    private final Map<String, String> addresses = new HashMap<>();
    private Instant askedAt = Instant.MIN;

    /**
     * @param stateKnownUntil when the last request that the state service has answered was sent
     * @param schedule asks for a round, after every message that was taken
     */
    public PeerExchange(
            EventLoop loop,
            HttpClient httpClient,
            Incarnation self,
            List<Settings.Peer> peers,
            BestEffortQueue bestEffortQueue,
            AgentReconciler agentReconciler,
            CancellationEnforcer cancellationEnforcer,
            CancellationWatermark cancellationWatermark,
            LeaseRenewalPolicy leaseRenewal,
            Supplier<Instant> stateKnownUntil,
            Runnable schedule) {
        this.loop = loop;
        this.httpClient = httpClient;
        this.self = self;
        this.bestEffortQueue = bestEffortQueue;
        this.agentReconciler = agentReconciler;
        this.cancellationEnforcer = cancellationEnforcer;
        this.cancellationWatermark = cancellationWatermark;
        this.leaseRenewal = leaseRenewal;
        this.stateKnownUntil = stateKnownUntil;
        this.schedule = schedule;
        peers.forEach(peer -> addresses.put(peer.name(), peer.address()));
        this.outageDetector = new StoreOutageDetector(addresses.keySet());
    }

    /** The names of all other controllers. */
    public Set<String> nodes() {
        return addresses.keySet();
    }

    /** Answers a request of another controller. */
    public void handle(HttpExchange exchange) {
        leaseRenewal.onExternalContact(loop.now());
        if (exchange.path().equals(STATE_QUESTION)) {
            tellWhetherWithoutState(exchange);
            return;
        }
        try {
            if (exchange.body() == null) {
                throw new MalformedMessageException("the body is larger than allowed");
            }
            switch (exchange.path()) {
                case OFFERS -> {
                    bestEffortQueue.onOffers(ResourceOffer.decode(exchange.body()), loop.now());
                    taken(exchange);
                }
                case ENDS -> {
                    agentReconciler.onCompletions(AttemptCompletion.decode(exchange.body()), loop.now());
                    taken(exchange);
                }
                case CANCELLED -> tellCancelled(exchange);
                default -> exchange.respond(404, EMPTY);
            }
        } catch (MalformedMessageException e) {
            exchange.respond(400, EMPTY);
        }
    }

    private void tellWhetherWithoutState(HttpExchange exchange) {
        if (StoreOutageDetector.isStoreUnreachable(stateKnownUntil.get(), loop.now())) {
            exchange.reject(WITHOUT_STATE, ASK_EVERY);
        } else {
            exchange.respond(200, EMPTY);
        }
    }

    /** Whether all others have said lately that the state service does not answer them either. */
    public boolean isStoreOutageShared() {
        return outageDetector.isSharedByAllPeers(loop.now());
    }

    private void taken(HttpExchange exchange) {
        exchange.respond(200, EMPTY);
        schedule.run();
    }

    private void tellCancelled(HttpExchange exchange) throws MalformedMessageException {
        Set<String> known = PeerCancellations.decodeKnown(exchange.body());
        List<PeerCancellations.CancelledJob> unknown = cancellationEnforcer.knownCancellations().stream()
                .filter(job -> !known.contains(job.id()))
                .toList();
        exchange.respond(200, PeerCancellations.encode(self.node(), self.number(), unknown));
    }

    public void sendOffers(BestEffortQueue.OutgoingOffers outgoing) {
        tell(outgoing.peer(), OFFERS, ResourceOffer.encode(outgoing.offers()));
    }

    /** Reports attempt completions to the writer of their jobs' records. */
    public void sendCompletions(String node, List<AttemptCompletion> notices) {
        for (int from = 0; from < notices.size(); from += AttemptCompletion.MAX_PER_MESSAGE) {
            int to = Math.min(notices.size(), from + AttemptCompletion.MAX_PER_MESSAGE);
            tell(node, ENDS, AttemptCompletion.encode(notices.subList(from, to)));
        }
    }

    private void tell(String node, String path, byte[] body) {
        String address = addresses.get(node);
        if (address != null) {
            httpClient.call(address, HttpRequest.post(path, body, LIMIT), response -> {});
        }
    }

    /**
     * Asks all others, once a second at most, whether they reach the state service and which cancellations they know;
     * for times without the state service.
     */
    public void pollPeersDuringOutage(Instant now) {
        if (askedAt.plus(ASK_EVERY).isAfter(now)) {
            return;
        }
        askedAt = now;
        addresses.forEach(this::askWhetherWithoutState);
        byte[] known = PeerCancellations.encodeKnown(cancellationEnforcer.knownCancellations().stream()
                .map(PeerCancellations.CancelledJob::id)
                .toList());
        for (String address : addresses.values()) {
            httpClient.call(
                    address,
                    HttpRequest.post(CANCELLED, known, LIMIT),
                    response -> cancelledTold(address, now, response));
        }
    }

    private void askWhetherWithoutState(String peer, String address) {
        httpClient.call(address, HttpRequest.get(STATE_QUESTION, LIMIT), response -> {
            if (response.outcome() == HttpResponse.Outcome.ANSWERED && response.status() == WITHOUT_STATE) {
                outageDetector.onPeerWithoutStore(peer, loop.now());
            }
        });
    }

    private void cancelledTold(String address, Instant asked, HttpResponse response) {
        if (!response.isOk()) {
            return;
        }
        leaseRenewal.onExternalContact(loop.now());
        try {
            PeerCancellations told = PeerCancellations.decode(response.body());
            told.jobs().forEach(job -> cancellationEnforcer.merge(job, loop.now()));
            if (told.complete()) {
                cancellationWatermark.advance(new Incarnation(told.node(), told.number()), asked);
            }
        } catch (MalformedMessageException e) {
            LOG.info("what {} knows of cancellations cannot be read: {}", address, e.getMessage());
        }
    }
}
