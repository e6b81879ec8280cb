package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/**
 * Work that would make messages larger than the protocol allows.
 */
class MessageSizeTest {
    private static final Map<String, Settings.Team> TEAMS =
            Map.of("red", new Settings.Team("red", 80, 192, 0, 0), "blue", new Settings.Team("blue", 96, 360, 0, 0));

    private static final double TINY_TASK_CPUS = 0.013;
    private static final int TASKS_PER_JOB = 400;

    private static SimulatedCluster cluster(long seed, int capacity) {
        return new SimulatedCluster(seed, new SimulatedCluster.Setup(capacity, TEAMS, Duration.ofSeconds(3), 0));
    }

    private static String team(int number) {
        return number % 2 == 0 ? "red" : "blue";
    }

    /** Guards against jobs that never complete, since all tasks fit on one machine and its heartbeat is rejected. */
    @Property(tries = 4, seed = "51")
    void jobsOfTinyTasksComplete(@ForAll @IntRange(min = 1, max = 1000) int seed, @ForAll boolean reserved) {
        SimulatedCluster cluster = cluster(seed, 4);
        for (int number = 1; number <= 6; number++) {
            cluster.submit(
                    number,
                    team(number),
                    reserved ? Priority.HIGH : Priority.NORMAL,
                    TASKS_PER_JOB,
                    TINY_TASK_CPUS,
                    Duration.ofSeconds(50));
        }
        cluster.run(Duration.ofSeconds(100));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).as("started tasks").isEqualTo(6 * TASKS_PER_JOB);
    }
}
