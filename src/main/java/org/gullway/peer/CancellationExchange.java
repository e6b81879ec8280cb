package org.gullway.peer;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.Incarnation;
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

    CancellationExchange(EventLoop loop, PeerClient client, Incarnation self, PeerMessageTargets targets) {
        this.loop = loop;
        this.client = client;
        this.self = self;
        this.cancellationEnforcer = targets.cancellationEnforcer();
        this.cancellationWatermark = targets.cancellationWatermark();
        this.leaseRenewal = targets.leaseRenewal();
    }

    /** Responds with the known cancellations that are not listed in the peer's request. */
    void respond(HttpExchange exchange) throws MalformedMessageException {
        Set<String> knownToPeer = PeerCancellations.decodeKnownJobs(exchange.body());
        List<PeerCancellations.CancelledJob> unknownToPeer = cancellationEnforcer.knownCancellations().stream()
                .filter(job -> !knownToPeer.contains(job.id()))
                .toList();
        exchange.respond(HttpStatus.OK, PeerCancellations.encode(self.node(), self.number(), unknownToPeer));
    }

    /** Queries all peers for cancellations that this controller does not know. */
    void poll(Instant now) {
        byte[] known = PeerCancellations.encodeKnownJobs(cancellationEnforcer.knownCancellations().stream()
                .map(PeerCancellations.CancelledJob::id)
                .toList());
        client.queryCancellations(known, (peer, response) -> onResponse(peer, now, response));
    }

    /** @param requestedAt when the request was sent; cancellations confirmed later may be missing from the response */
    private void onResponse(String peer, Instant requestedAt, HttpResponse response) {
        if (!response.isOk()) {
            return;
        }
        leaseRenewal.onExternalContact(loop.now());
        try {
            PeerCancellations cancellations = PeerCancellations.decode(response.body());
            cancellations.jobs().forEach(job -> cancellationEnforcer.add(job, loop.now()));
            if (cancellations.complete()) {
                cancellationWatermark.advance(
                        new Incarnation(cancellations.node(), cancellations.incarnationNumber()), requestedAt);
            }
        } catch (MalformedMessageException e) {
            LOG.info("ignored a malformed cancellation response controller={} error={}", peer, e.getMessage());
        }
    }
}
