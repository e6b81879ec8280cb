package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** The check of service names just the groups that were not served. */
class StartedJobsCheckTest {
    private static List<String> unservedWithMachines(int capacity) {
        SimulatedCluster cluster = new SimulatedCluster(5, 0, capacity);
        cluster.submit(1, "red", Priority.HIGH, 1, 4, Duration.ofSeconds(2));
        cluster.submit(2, "blue", Priority.NORMAL, 1, 8, Duration.ofSeconds(2));
        cluster.submit(3, "blue", Priority.IDLE, 1, 2, Duration.ofSeconds(2)).cancel();
        cluster.run(Duration.ofSeconds(60));
        return StartedJobsCheck.violations(cluster.users());
    }

    @Test
    void withMachinesEverybodyIsServed() {
        assertThat(unservedWithMachines(3)).isEmpty();
    }

    @Test
    void withoutMachinesNobodyIsServedExceptWhatWasCancelled() {
        assertThat(unservedWithMachines(0))
                .containsExactlyInAnyOrder(
                        "half_served: rank HIGH: 0 of 1 jobs began",
                        "half_served: team red: 0 of 1 jobs began",
                        "half_served: rank NORMAL: 0 of 1 jobs began",
                        "half_served: team blue: 0 of 1 jobs began",
                        "half_served: largest tasks: 0 of 1 jobs began");
    }
}
