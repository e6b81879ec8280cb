package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class WakeupQueueTest {
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    @Test
    void takesWhatIsDueInOrderAndLeavesTheRest() {
        WakeupQueue times = new WakeupQueue();
        for (int i = 0; i < 1000; i++) {
            times.add("later-" + i, NOW.plusMillis(1 + i));
        }
        times.add("second", NOW);
        times.add("third", NOW);
        times.add("first", Instant.MIN);
        assertThat(times.pollDue(NOW)).containsExactly("first", "second", "third");
        assertThat(times.pollDue(NOW)).isEmpty();
        assertThat(times.size()).isEqualTo(1000);
        assertThat(times.pollDue(NOW.plusMillis(2))).containsExactly("later-0", "later-1");
    }
}
