package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** {@link StartedJobsCheck} reports exactly the groups with too few started jobs. */
class StartedJobsCheckTest {
    private static List<String> violationsWithCapacity(int capacity) {
        SimulatedCluster cluster = new SimulatedCluster(5, 0, capacity);
        cluster.submit(1, "red", Priority.HIGH, 1, 4, Duration.ofSeconds(2));
        cluster.submit(2, "blue", Priority.NORMAL, 1, 8, Duration.ofSeconds(2));
        cluster.submit(3, "blue", Priority.IDLE, 1, 2, Duration.ofSeconds(2)).cancel();
        cluster.run(Duration.ofSeconds(60));
        return StartedJobsCheck.violations(cluster.users());
    }

    @Test
    void noViolationsIfAllJobsStart() {
        assertThat(violationsWithCapacity(3)).isEmpty();
    }

    @Test
    void reportsEveryGroupIfThereAreNoMachines() {
        assertThat(violationsWithCapacity(0))
                .containsExactlyInAnyOrder(
                        "half_served: priority HIGH: 0 of 1 jobs started",
                        "half_served: team red: 0 of 1 jobs started",
                        "half_served: priority NORMAL: 0 of 1 jobs started",
                        "half_served: team blue: 0 of 1 jobs started",
                        "half_served: largest tasks: 0 of 1 jobs started");
    }
}
