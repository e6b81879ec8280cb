package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.gullway.coordination.BestEffortQueue;
import org.gullway.coordination.CancellationWatermark;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.LeaseRenewalPolicy;
import org.gullway.coordination.MachineControl;
import org.gullway.coordination.SharedOutage;
import org.gullway.protocol.Cancellations;
import org.gullway.protocol.EndNotice;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Offer;
import org.gullway.protocol.Settings;
import org.gullway.transport.Call;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Messages between controllers: offers of spare room, ends of attempts, and the cancellations that each knows. Offers
 * and ends go out without waiting for an answer; one that is lost is made good by later reports.
 */
final class PeerExchange {
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
    private final Client http;
    private final Incarnation self;
    private final BestEffortQueue queue;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final CancellationWatermark horizon;
    private final LeaseRenewalPolicy leases;
    private final Supplier<Instant> stateKnownUntil;
    private final SharedOutage outage;
    private final Runnable schedule;
    private final Map<String, String> addresses = new HashMap<>();
    private Instant askedAt = Instant.MIN;

    /**
     * @param stateKnownUntil when the last request that the state service has answered was sent
     * @param schedule asks for a round, after every message that was taken
     */
    PeerExchange(
            EventLoop loop,
            Client http,
            Incarnation self,
            List<Settings.Peer> peers,
            BestEffortQueue queue,
            MachineControl machines,
            CancelledTasks cancelled,
            CancellationWatermark horizon,
            LeaseRenewalPolicy leases,
            Supplier<Instant> stateKnownUntil,
            Runnable schedule) {
        this.loop = loop;
        this.http = http;
        this.self = self;
        this.queue = queue;
        this.machines = machines;
        this.cancelled = cancelled;
        this.horizon = horizon;
        this.leases = leases;
        this.stateKnownUntil = stateKnownUntil;
        this.schedule = schedule;
        peers.forEach(peer -> addresses.put(peer.name(), peer.address()));
        this.outage = new SharedOutage(addresses.keySet());
    }

    /** The names of all other controllers. */
    Set<String> nodes() {
        return addresses.keySet();
    }

    /** Answers a request of another controller. */
    void answer(Call call) {
        leases.outsideHeard(loop.now());
        if (call.path().equals(STATE_QUESTION)) {
            tellWhetherWithoutState(call);
            return;
        }
        try {
            if (call.body() == null) {
                throw new MalformedException("the body is larger than allowed");
            }
            switch (call.path()) {
                case OFFERS -> {
                    queue.offered(Offer.decode(call.body()), loop.now());
                    taken(call);
                }
                case ENDS -> {
                    machines.noticed(EndNotice.decode(call.body()), loop.now());
                    taken(call);
                }
                case CANCELLED -> tellCancelled(call);
                default -> call.answer(404, EMPTY);
            }
        } catch (MalformedException e) {
            call.answer(400, EMPTY);
        }
    }

    private void tellWhetherWithoutState(Call call) {
        if (SharedOutage.isWithoutState(stateKnownUntil.get(), loop.now())) {
            call.refuse(WITHOUT_STATE, ASK_EVERY);
        } else {
            call.answer(200, EMPTY);
        }
    }

    /** Whether all others have said lately that the state service does not answer them either. */
    boolean allWithoutState() {
        return outage.includesAllPeers(loop.now());
    }

    private void taken(Call call) {
        call.answer(200, EMPTY);
        schedule.run();
    }

    private void tellCancelled(Call call) throws MalformedException {
        Set<String> known = Cancellations.decodeKnown(call.body());
        List<Cancellations.Job> unknown = cancelled.known().stream()
                .filter(job -> !known.contains(job.id()))
                .toList();
        call.answer(200, Cancellations.encode(self.node(), self.number(), unknown));
    }

    void sendOffers(BestEffortQueue.Outgoing outgoing) {
        tell(outgoing.peer(), OFFERS, Offer.encode(outgoing.offers()));
    }

    void sendEnds(String node, List<EndNotice> notices) {
        for (int from = 0; from < notices.size(); from += EndNotice.MOST_TOGETHER) {
            int to = Math.min(notices.size(), from + EndNotice.MOST_TOGETHER);
            tell(node, ENDS, EndNotice.encode(notices.subList(from, to)));
        }
    }

    private void tell(String node, String path, byte[] body) {
        String address = addresses.get(node);
        if (address != null) {
            http.call(address, HttpRequest.post(path, body, LIMIT), reply -> {});
        }
    }

    /**
     * Asks all others, once a second at most, whether they reach the state service and which cancellations they know;
     * for times without the state service.
     */
    void askWithoutState(Instant now) {
        if (askedAt.plus(ASK_EVERY).isAfter(now)) {
            return;
        }
        askedAt = now;
        addresses.forEach(this::askWhetherWithoutState);
        byte[] known = Cancellations.encodeKnown(
                cancelled.known().stream().map(Cancellations.Job::id).toList());
        for (String address : addresses.values()) {
            http.call(address, HttpRequest.post(CANCELLED, known, LIMIT), reply -> cancelledTold(address, now, reply));
        }
    }

    private void askWhetherWithoutState(String peer, String address) {
        http.call(address, HttpRequest.get(STATE_QUESTION, LIMIT), reply -> {
            if (reply.kind() == Reply.Kind.ANSWERED && reply.status() == WITHOUT_STATE) {
                outage.peerWithoutState(peer, loop.now());
            }
        });
    }

    private void cancelledTold(String address, Instant asked, Reply reply) {
        if (!reply.ok()) {
            return;
        }
        leases.outsideHeard(loop.now());
        try {
            Cancellations told = Cancellations.decode(reply.body());
            told.jobs().forEach(job -> cancelled.learn(job, loop.now()));
            if (told.complete()) {
                horizon.told(new Incarnation(told.node(), told.number()), asked);
            }
        } catch (MalformedException e) {
            LOG.info("what {} knows of cancellations cannot be read: {}", address, e.getMessage());
        }
    }
}
