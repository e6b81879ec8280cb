package org.gullway.coordination.cancellation;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;

/**
 * Up to when all cancellations that anybody was told of are surely known here.
 *
 * <p>The store says so for all that was committed before its last answered watch had been sent. Beyond that a peer can
 * say so for what it has told itself: it lists the cancelled jobs that it knows, after it was asked. That covers all
 * processes of its node, if the one that answers is a member in the view: earlier ones ended before it joined, so what
 * they had committed is in the view as well, and there are no later ones while it lives. The moment of asking counts,
 * so late answers are safe, and a peer that cannot be reached, or was started anew, adds nothing.
 */
public final class CancellationWatermark {
    private final ClusterState clusterState;
    private final List<String> peers;
    private final Map<String, Instant> knownThroughByPeer = new HashMap<>();

    public CancellationWatermark(ClusterState clusterState, Collection<String> peers) {
        this.clusterState = clusterState;
        this.peers = List.copyOf(peers);
    }

    /** A peer has told all that it knows, after it was asked at that moment. */
    public void advance(Incarnation peer, Instant asked) {
        if (clusterState.isMember(peer)) {
            knownThroughByPeer.merge(peer.node(), asked, (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    /** @param knownUntil what the store says */
    public Instant knownThrough(Instant knownThrough) {
        return peers.stream()
                .map(peer -> knownThroughByPeer.getOrDefault(peer, Instant.MIN))
                .map(told -> told.isAfter(knownThrough) ? told : knownThrough)
                .min(Instant::compareTo)
                .orElse(knownThrough);
    }
}
