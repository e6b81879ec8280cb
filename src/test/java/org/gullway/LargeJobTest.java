package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/** Jobs with more tasks than their records can list as placed at the same time. */
class LargeJobTest {
    private static final Map<String, Settings.Team> TEAMS =
            Map.of("red", new Settings.Team("red", 80, 192, 0, 0), "blue", new Settings.Team("blue", 96, 360, 0, 0));

    private static SimulatedCluster cluster(long seed) {
        return new SimulatedCluster(seed, new SimulatedCluster.Setup(8, TEAMS, Duration.ofSeconds(3), 0));
    }

    /** Guards against idle jobs that wait, beside free machines, for tasks that cannot start yet. */
    @Property(tries = 2, seed = "59")
    void idleJobsRunBesideAJobWhoseRecordIsFull(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed);
        cluster.submit(1, "blue", Priority.NORMAL, 2000, 0.02, Duration.ofSeconds(60));
        cluster.run(Duration.ofSeconds(10));
        TestUser idle = cluster.submit(2, "red", Priority.IDLE, 4, 1, Duration.ofSeconds(5));
        cluster.run(Duration.ofSeconds(90));
        assertThat(cluster.violations).isEmpty();
        assertThat(idle.timeToFirstStart()).as("first start of the idle job").isNotNull();
        assertThat(cluster.unfinished()).hasSize(1);
    }

    /** Guards against machines that are provisioned for tasks that cannot start yet. */
    @Property(tries = 2, seed = "60")
    void machinesAreProvisionedOnlyForTasksThatTheRecordHasRoomFor(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed);
        cluster.submit(1, "blue", Priority.NORMAL, 20_000, 0.08, Duration.ofSeconds(60));
        cluster.run(Duration.ofSeconds(60));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.startedTasks()).isGreaterThan(350);
        assertThat(cluster.cloud.provisionedCount()).isBetween(1, 4);
    }
}
