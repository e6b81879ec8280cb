package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class CancellationWatermarkTest {
    private static final Instant STORE = Instant.ofEpochSecond(100);
    private static final Incarnation THIRD = new Incarnation("perch-2", 19);

    private final ClusterView view = Samples.view();
    private final CancellationWatermark horizon = new CancellationWatermark(view, List.of("perch-1", "perch-2"));

    CancellationWatermarkTest() {
        view.put(Keys.member("perch-2"), THIRD, 9);
    }

    /** What one of them has not told may have been cancelled by it. */
    @Test
    void isAsFarAsThePeerThatToldLeastLately() {
        assertThat(horizon.until(STORE)).isEqualTo(STORE);
        horizon.told(Samples.PEER, STORE.plusSeconds(20));
        assertThat(horizon.until(STORE)).as("the other is silent").isEqualTo(STORE);
        horizon.told(THIRD, STORE.plusSeconds(7));
        assertThat(horizon.until(STORE)).isEqualTo(STORE.plusSeconds(7));
        horizon.told(THIRD, STORE.plusSeconds(30));
        horizon.told(THIRD, STORE.plusSeconds(10));
        assertThat(horizon.until(STORE)).as("answers come out of order").isEqualTo(STORE.plusSeconds(20));
        assertThat(horizon.until(STORE.plusSeconds(50))).isEqualTo(STORE.plusSeconds(50));
    }

    /** Its former process may have confirmed a cancellation that it knows nothing of. */
    @Test
    void aPeerThatWasStartedAnewAddsNothing() {
        horizon.told(Samples.PEER, STORE.plusSeconds(5));
        horizon.told(THIRD, STORE.plusSeconds(5));
        horizon.told(Samples.PEER, STORE.plusSeconds(9));
        horizon.told(new Incarnation("perch-2", 20), STORE.plusSeconds(9));
        assertThat(horizon.until(STORE)).isEqualTo(STORE.plusSeconds(5));
    }

    @Test
    void aPeerThatIsNoMemberAddsNothing() {
        view.remove(Keys.member("perch-2"), 30);
        horizon.told(Samples.PEER, STORE.plusSeconds(5));
        horizon.told(THIRD, STORE.plusSeconds(5));
        assertThat(horizon.until(STORE)).isEqualTo(STORE);
    }

    @Test
    void aControllerAloneKnowsWhatTheStoreSays() {
        assertThat(new CancellationWatermark(view, List.of()).until(STORE)).isEqualTo(STORE);
    }
}
