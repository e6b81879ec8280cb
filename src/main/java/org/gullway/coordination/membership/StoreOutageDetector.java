package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells an outage of the state store, which affects all controllers, from refusals that one controller alone gets, by
 * what the controllers say to each other.
 *
 * <p>In an outage a controller stays healthy for the load balancer, since no other one could serve its users any better.
 * The balancer takes a controller back only after a pause that doubles with each removal, so that short outages in a row
 * would leave users without any healthy controller after each.
 */
public final class StoreOutageDetector {
    /** Watches last a second, so an answer that is older shows that later requests had none. */
    private static final Duration MAX_ANSWER_AGE = Duration.ofSeconds(3);
    /** Peers are asked every second; this is how long a notice of theirs counts. */
    private static final Duration PEER_NOTICE_VALIDITY = Duration.ofSeconds(4);

    private final List<String> peers;
    /** By peer: when it last said that the state store does not answer it. */
    private final Map<String, Instant> peerReportedAt = new HashMap<>();

    /** @param peers names of all other controllers of the deployment */
    public StoreOutageDetector(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /**
     * Whether a controller has to say that the state store does not answer it.
     *
     * @param answeredRequestSentAt when the last request that the state store has answered was sent
     */
    public static boolean isStoreUnreachable(Instant answeredRequestSentAt, Instant now) {
        return answeredRequestSentAt.plus(MAX_ANSWER_AGE).isBefore(now);
    }

    /** Records that a peer has just said that the state store does not answer it. */
    public void onPeerReportedOutage(String peer, Instant now) {
        peerReportedAt.put(peer, now);
    }

    /** Whether all peers have lately said that the state store does not answer them. */
    public boolean isReportedByAllPeers(Instant now) {
        return peers.stream().allMatch(peer -> hasRecentlyReportedOutage(peer, now));
    }

    private boolean hasRecentlyReportedOutage(String peer, Instant now) {
        return peerReportedAt
                .getOrDefault(peer, Instant.MIN)
                .plus(PEER_NOTICE_VALIDITY)
                .isAfter(now);
    }
}
