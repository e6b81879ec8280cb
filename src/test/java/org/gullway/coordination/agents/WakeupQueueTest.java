package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class WakeupQueueTest {
    private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

    @Test
    void pollsDueEntriesInOrderAndKeepsTheOthers() {
        WakeupQueue queue = new WakeupQueue();
        for (int i = 0; i < 1000; i++) {
            queue.add("later-" + i, NOW.plusMillis(1 + i));
        }
        queue.add("second", NOW);
        queue.add("third", NOW);
        queue.add("first", Instant.MIN);
        assertThat(queue.pollDue(NOW)).containsExactly("first", "second", "third");
        assertThat(queue.pollDue(NOW)).isEmpty();
        assertThat(queue.size()).isEqualTo(1000);
        assertThat(queue.pollDue(NOW.plusMillis(2))).containsExactly("later-0", "later-1");
    }
}
