package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distinguishes an outage of the state store, which affects all controllers, from a failure that affects this
 * controller alone, by the reports that the controllers exchange.
 *
 * <p>During an outage of the store a controller keeps reporting itself as healthy to the load balancer, since no other
 * controller could serve its users any better. The load balancer readmits a controller only after a pause that doubles
 * with each removal: if all controllers were removed in each of several short outages, users would have no healthy
 * controller for some time after every outage.
 */
public final class StoreOutageDetector {
    /**
     * Maximum time since the last answered request was sent. The state store answers a watch request within one second
     * even if nothing has changed. After three seconds, at least one later request must have gone unanswered.
     */
    private static final Duration MAX_ANSWERED_REQUEST_AGE = Duration.ofSeconds(3);
    /** How long a peer's report counts; every peer is asked once per second. */
    private static final Duration PEER_REPORT_VALIDITY = Duration.ofSeconds(4);

    private final List<String> peers;
    /** When each peer last reported that the state store does not answer it, by the peer's name. */
    private final Map<String, Instant> peerReportedAt = new HashMap<>();

    /** @param peers names of all other controllers of the deployment */
    public StoreOutageDetector(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /**
     * Whether a controller has to report that the state store does not answer it.
     *
     * @param answeredRequestSentAt when the last request that the state store answered was sent
     */
    public static boolean isStoreUnreachable(Instant answeredRequestSentAt, Instant now) {
        return answeredRequestSentAt.plus(MAX_ANSWERED_REQUEST_AGE).isBefore(now);
    }

    /** Records a peer's report that the state store does not answer it. */
    public void onPeerReportedOutage(String peer, Instant now) {
        peerReportedAt.put(peer, now);
    }

    /** Whether every peer has recently reported that the state store does not answer that peer; true without peers. */
    public boolean isReportedByAllPeers(Instant now) {
        return peers.stream().allMatch(peer -> hasRecentlyReportedOutage(peer, now));
    }

    private boolean hasRecentlyReportedOutage(String peer, Instant now) {
        return peerReportedAt
                .getOrDefault(peer, Instant.MIN)
                .plus(PEER_REPORT_VALIDITY)
                .isAfter(now);
    }
}
