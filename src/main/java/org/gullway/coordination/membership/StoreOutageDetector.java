package org.gullway.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether the state service answers none of the controllers, as far as they tell each other. A controller cannot tell
 * an outage from refusals that it alone gets, but its peers can.
 *
 * <p>In an outage of all it stays healthy for the load balancer, since no other controller could serve its users any
 * better. The balancer takes a node back only after a pause that doubles with each removal: when outages of 52 s came
 * every 70 s, users found no healthy node in the first seconds after each and gave up (hunted day hunt-c4d1-5).
 */
public final class StoreOutageDetector {
    /** Watches last a second, so an answer that is older shows that later requests had none. */
    private static final Duration LONGEST_WITHOUT_ANSWER = Duration.ofSeconds(3);
    /** Peers are asked every second; this is how long an answer counts. */
    private static final Duration ANSWER_COUNTS = Duration.ofSeconds(4);

    private final List<String> peers;
    /** By peer: when it last said that the state service does not answer it. */
    private final Map<String, Instant> withoutStateAt = new HashMap<>();

    /** @param peers names of all other controllers of the deployment */
    public StoreOutageDetector(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /**
     * Whether a controller has to say that the state service does not answer it.
     *
     * @param answered when the last request that the state service has answered was sent
     */
    public static boolean isStoreUnreachable(Instant answered, Instant now) {
        return answered.plus(LONGEST_WITHOUT_ANSWER).isBefore(now);
    }

    /** Notes that a peer has just said that the state service does not answer it. */
    public void onPeerWithoutStore(String peer, Instant now) {
        withoutStateAt.put(peer, now);
    }

    /** Whether all peers have said lately that the state service does not answer them. */
    public boolean isSharedByAllPeers(Instant now) {
        return peers.stream().allMatch(peer -> withoutStateAt
                .getOrDefault(peer, Instant.MIN)
                .plus(ANSWER_COUNTS)
                .isAfter(now));
    }
}
