package org.gullway.coordination.cancellation;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;

/**
 * The time up to which this controller certainly knows every confirmed cancellation.
 *
 * <p>The state store proves this for everything that was committed before the last answered watch was sent. During an
 * outage of the store, each peer proves it for what the peer itself has confirmed, by listing all cancelled jobs that
 * it knows. The list covers every process of the peer's node if the process that answers is a member in the cluster
 * state: earlier processes ended before it joined, so their commits are in the cluster state, and no later process
 * exists while this one lives. The time at which the request was sent counts, so a delayed response is safe. A peer
 * does not advance the watermark if it is unreachable, or if it has restarted and is not yet a member in this
 * controller's cluster state.
 */
public final class CancellationWatermark {
    private final ClusterState clusterState;
    private final List<String> peers;
    private final Map<String, Instant> knownThroughByPeer = new HashMap<>();

    /** @param peers the nodes of all other controllers */
    public CancellationWatermark(ClusterState clusterState, Collection<String> peers) {
        this.clusterState = clusterState;
        this.peers = List.copyOf(peers);
    }

    /**
     * Records that a peer has listed all cancellations that it knows.
     *
     * @param requestedAt when the request for the list was sent
     */
    public void advance(Incarnation peer, Instant requestedAt) {
        if (clusterState.isMember(peer)) {
            knownThroughByPeer.merge(peer.node(), requestedAt, CancellationWatermark::later);
        }
    }

    /**
     * Returns the watermark: the minimum over all peers, but not less than what the state store proves for all of
     * them.
     *
     * @param storeKnownThrough the time up to which all commits are known from the state store
     */
    public Instant knownThrough(Instant storeKnownThrough) {
        if (peers.isEmpty()) {
            return storeKnownThrough;
        }
        Instant knownThrough = Instant.MAX;
        for (String peer : peers) {
            Instant knownFromPeer = knownThroughByPeer.getOrDefault(peer, Instant.MIN);
            if (knownFromPeer.isBefore(knownThrough)) {
                knownThrough = knownFromPeer;
            }
        }
        return later(knownThrough, storeKnownThrough);
    }

    private static Instant later(Instant first, Instant second) {
        return first.isAfter(second) ? first : second;
    }
}
