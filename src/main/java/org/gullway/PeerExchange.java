package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.BestEffortQueue;
import org.gullway.coordination.CancellationHorizon;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.LeaseKeeper;
import org.gullway.coordination.MachineControl;
import org.gullway.protocol.Cancellations;
import org.gullway.protocol.EndNotice;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Offer;
import org.gullway.protocol.Settings;
import org.gullway.transport.Call;
import org.gullway.transport.Client;
import org.gullway.transport.EventLoop;
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
    private static final Duration LIMIT = Duration.ofSeconds(2);
    private static final Duration ASK_EVERY = Duration.ofSeconds(1);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final Client http;
    private final Incarnation self;
    private final BestEffortQueue queue;
    private final MachineControl machines;
    private final CancelledTasks cancelled;
    private final CancellationHorizon horizon;
    private final LeaseKeeper leases;
    private final Runnable schedule;
    private final Map<String, String> addresses = new HashMap<>();
    private Instant askedAt = Instant.MIN;

    /** @param schedule asks for a round, after every message that was taken */
    PeerExchange(
            EventLoop loop,
            Client http,
            Incarnation self,
            List<Settings.Peer> peers,
            BestEffortQueue queue,
            MachineControl machines,
            CancelledTasks cancelled,
            CancellationHorizon horizon,
            LeaseKeeper leases,
            Runnable schedule) {
        this.loop = loop;
        this.http = http;
        this.self = self;
        this.queue = queue;
        this.machines = machines;
        this.cancelled = cancelled;
        this.horizon = horizon;
        this.leases = leases;
        this.schedule = schedule;
        peers.forEach(peer -> addresses.put(peer.name(), peer.address()));
    }

    /** The names of all other controllers. */
    Set<String> nodes() {
        return addresses.keySet();
    }

    /** Answers a request of another controller. */
    void answer(Call call) {
        leases.outsideHeard(loop.now());
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
            http.call(address, Reply.Request.post(path, body, LIMIT), reply -> {});
        }
    }

    /** Asks all others for the cancellations that they know, once a second at most; for times without the state service. */
    void askForCancelled(Instant now) {
        if (askedAt.plus(ASK_EVERY).isAfter(now)) {
            return;
        }
        askedAt = now;
        byte[] known = Cancellations.encodeKnown(
                cancelled.known().stream().map(Cancellations.Job::id).toList());
        for (String address : addresses.values()) {
            http.call(
                    address, Reply.Request.post(CANCELLED, known, LIMIT), reply -> cancelledTold(address, now, reply));
        }
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
