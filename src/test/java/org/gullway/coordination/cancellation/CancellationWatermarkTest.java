package org.gullway.coordination.cancellation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.Count;
import org.junit.jupiter.api.Test;

class CancellationWatermarkTest {
    private static final Instant STORE_KNOWN_THROUGH = Instant.ofEpochSecond(100);
    private static final Incarnation SECOND_PEER = new Incarnation("perch-2", 19);

    private final ClusterState clusterState = TestFixtures.clusterState();
    private final CancellationWatermark cancellationWatermark =
            new CancellationWatermark(clusterState, List.of("perch-1", "perch-2"));

    CancellationWatermarkTest() {
        clusterState.put(StoreKeys.member("perch-2"), SECOND_PEER, Count.of(9));
    }

    /** A peer may have confirmed cancellations since it last listed them. */
    @Test
    void isTheMinimumOverAllPeers() {
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH)).isEqualTo(STORE_KNOWN_THROUGH);
        cancellationWatermark.advance(TestFixtures.PEER, STORE_KNOWN_THROUGH.plusSeconds(20));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH))
                .as("the other peer is unresponsive")
                .isEqualTo(STORE_KNOWN_THROUGH);
        cancellationWatermark.advance(SECOND_PEER, STORE_KNOWN_THROUGH.plusSeconds(7));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH))
                .isEqualTo(STORE_KNOWN_THROUGH.plusSeconds(7));
        cancellationWatermark.advance(SECOND_PEER, STORE_KNOWN_THROUGH.plusSeconds(30));
        cancellationWatermark.advance(SECOND_PEER, STORE_KNOWN_THROUGH.plusSeconds(10));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH))
                .as("responses arrive out of order")
                .isEqualTo(STORE_KNOWN_THROUGH.plusSeconds(20));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH.plusSeconds(50)))
                .isEqualTo(STORE_KNOWN_THROUGH.plusSeconds(50));
    }

    /** The peer's former process may have confirmed a cancellation that its new process does not know. */
    @Test
    void aRestartedPeerDoesNotAdvanceIt() {
        cancellationWatermark.advance(TestFixtures.PEER, STORE_KNOWN_THROUGH.plusSeconds(5));
        cancellationWatermark.advance(SECOND_PEER, STORE_KNOWN_THROUGH.plusSeconds(5));
        cancellationWatermark.advance(TestFixtures.PEER, STORE_KNOWN_THROUGH.plusSeconds(9));
        cancellationWatermark.advance(new Incarnation("perch-2", 20), STORE_KNOWN_THROUGH.plusSeconds(9));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH))
                .isEqualTo(STORE_KNOWN_THROUGH.plusSeconds(5));
    }

    @Test
    void aPeerThatIsNotAMemberDoesNotAdvanceIt() {
        clusterState.remove(StoreKeys.member("perch-2"), Count.of(30));
        cancellationWatermark.advance(TestFixtures.PEER, STORE_KNOWN_THROUGH.plusSeconds(5));
        cancellationWatermark.advance(SECOND_PEER, STORE_KNOWN_THROUGH.plusSeconds(5));
        assertThat(cancellationWatermark.knownThrough(STORE_KNOWN_THROUGH)).isEqualTo(STORE_KNOWN_THROUGH);
    }

    @Test
    void withoutPeersItIsTheTimeKnownFromTheStore() {
        assertThat(new CancellationWatermark(clusterState, List.of()).knownThrough(STORE_KNOWN_THROUGH))
                .isEqualTo(STORE_KNOWN_THROUGH);
    }
}
