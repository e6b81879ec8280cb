package org.gullway.peer;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.Incarnation;
import org.gullway.protocol.CancellationQuery;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.PeerCancellations;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges known cancellations with the other controllers. A controller asks for them while it holds no valid lease.
 */
final class CancellationExchange {
    private static final Logger LOG = LoggerFactory.getLogger(CancellationExchange.class);

    private final EventLoop loop;
    private final PeerClient client;
    private final Incarnation self;
    private final CancellationEnforcer cancellationEnforcer;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    /** Present for a peer while only some of the ranges of job ids have been asked about. */
    private final Map<String, Progress> progressByPeer = new HashMap<>();

    /**
     * How far a peer has been asked about, in ranges of job ids. This controller knows all jobs with ids up to {@code
     * knownThrough} whose cancellations the peer's process knew at {@code startedAt}.
     *
     * @param knownThrough empty if nothing has been asked about
     * @param responder the peer's process; null if nothing has been asked about
     * @param startedAt when the request about the first range was sent; later cancellations may be missing
     */
    private record Progress(String knownThrough, Incarnation responder, Instant startedAt) {
        static Progress startedAt(Instant now) {
            return new Progress("", null, now);
        }

        boolean isValidFor(Incarnation process) {
            return responder == null || responder.equals(process);
        }
    }

    CancellationExchange(EventLoop loop, PeerClient client, Incarnation self, PeerMessageTargets targets) {
        this.loop = loop;
        this.client = client;
        this.self = self;
        this.cancellationEnforcer = targets.cancellationEnforcer();
        this.cancellationWatermark = targets.cancellationWatermark();
        this.leaseRenewal = targets.leaseRenewal();
    }

    /** Responds with the known cancellations that the peer's request asks for. */
    void respond(HttpExchange exchange) throws MalformedMessageException {
        CancellationQuery query = CancellationQuery.decode(exchange.body());
        List<PeerCancellations.CancelledJob> unknownToPeer = cancellationEnforcer.knownCancellations().stream()
                .filter(job -> query.asksFor(job.id()))
                .toList();
        exchange.respond(HttpStatus.OK, PeerCancellations.encode(self.node(), self.number(), unknownToPeer));
    }

    /** Queries all peers for cancellations that this controller does not know. */
    void poll(Instant now) {
        List<String> known = cancellationEnforcer.knownCancellations().stream()
                .map(PeerCancellations.CancelledJob::id)
                .toList();
        for (String peer : client.names()) {
            Progress progress = progressByPeer.getOrDefault(peer, Progress.startedAt(now));
            CancellationQuery query = CancellationQuery.startingAfter(progress.knownThrough(), known);
            client.queryCancellations(peer, query, response -> onResponse(peer, progress, query, response));
        }
    }

    private void onResponse(String peer, Progress progress, CancellationQuery query, HttpResponse response) {
        if (!response.isOk()) {
            return;
        }
        leaseRenewal.onExternalContact(loop.now());
        try {
            PeerCancellations cancellations = PeerCancellations.decode(response.body());
            cancellations.jobs().forEach(job -> cancellationEnforcer.add(job, loop.now()));
            if (cancellations.complete()) {
                onRangeKnown(peer, progress, query, cancellations);
            }
        } catch (MalformedMessageException e) {
            LOG.info("ignored a malformed cancellation response controller={} error={}", peer, e.getMessage());
        }
    }

    /** Handles a response that contains all jobs that the query asked for. */
    private void onRangeKnown(
            String peer, Progress progress, CancellationQuery query, PeerCancellations cancellations) {
        Incarnation responder = new Incarnation(cancellations.node(), cancellations.incarnationNumber());
        if (!progress.isValidFor(responder)) {
            // The earlier ranges are those of another process.
            progressByPeer.remove(peer);
        } else if (query.isLast()) {
            progressByPeer.remove(peer);
            cancellationWatermark.advance(responder, progress.startedAt());
        } else {
            progressByPeer.put(peer, new Progress(query.through(), responder, progress.startedAt()));
        }
    }
}
