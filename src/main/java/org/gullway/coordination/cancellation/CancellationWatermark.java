package org.gullway.coordination.cancellation;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;

/**
 * The time up to which this controller certainly knows every confirmed cancellation. It follows from two sources:
 *
 * <ul>
 * <li>The state store: when it answers a watch request, this controller knows everything that was committed before the
 * request was sent.
 * <li>The peers, during an outage of the state store: when a peer answers a request for its list of cancelled jobs,
 * this controller knows every cancellation that the peer confirmed before the request was sent.
 * </ul>
 *
 * <p>A peer's list counts only if the process that answers is a member in this controller's cluster state. Then the
 * list also covers the other processes of the peer's node: earlier processes ended before the answering process
 * joined, so the cluster state contains their commits, and no later process exists while the answering one lives.
 * Therefore a peer does not advance the watermark if it is unreachable, or if it has restarted and is not yet a member
 * in this controller's cluster state. The time at which the request was sent counts, so a delayed response is safe.
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
     * Records that a peer has listed all cancellations that it knows. Has no effect if the peer's process is not a
     * member in the cluster state, or if a later request has been recorded.
     *
     * @param requestedAt when the request for the list was sent
     */
    public void advance(Incarnation peer, Instant requestedAt) {
        if (clusterState.isMember(peer)) {
            knownThroughByPeer.merge(peer.node(), requestedAt, CancellationWatermark::later);
        }
    }

    /**
     * Returns the watermark: the later of {@code storeKnownThrough} and the minimum over all peers of the time up to
     * which this controller knows the peer's cancellations. Without peers it is {@code storeKnownThrough}.
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
