package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/**
 * Work that would make messages larger than the protocol allows: a machine that lists thousands of attempts, and waves
 * of cancellations and failures whose attempts stay listed until the agent is told to forget them.
 */
class MessageSizeTest {
    private static final Map<String, Settings.Team> TEAMS =
            Map.of("red", new Settings.Team("red", 80, 192, 0, 0), "blue", new Settings.Team("blue", 96, 360, 0, 0));

    private static final double TINY_TASK_CPUS = 0.013;
    private static final int TASKS_PER_JOB = 400;
    private static final SimulatedCluster.JobConstraints ONE_MACHINE =
            new SimulatedCluster.JobConstraints(List.of("large"), "a", false, false, false);

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

    /** Guards against heartbeats that grow with each cancelled job until the machine is lost with its other work. */
    @Property(tries = 2, seed = "52")
    void wavesOfCancellationsDoNotFillTheHeartbeat(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed, 1);
        TestUser longJob = cluster.submit(1, "blue", Priority.HIGH, 20, 1, Duration.ofSeconds(100), ONE_MACHINE);
        Set<String> machinesOfLongJob = new HashSet<>();
        cluster.setTaskFailurePredicate((machine, job) -> {
            if (job.equals(longJob.request.id())) {
                machinesOfLongJob.add(machine);
            }
            return false;
        });
        List<TestUser> waves = new ArrayList<>();
        for (int wave = 0; wave < 6; wave++) {
            int number = 10 + wave;
            cluster.after(Duration.ofSeconds(15 + 12L * wave), () -> {
                TestUser user = cluster.submit(
                        number,
                        "red",
                        Priority.HIGH,
                        TASKS_PER_JOB,
                        TINY_TASK_CPUS,
                        Duration.ofMinutes(5),
                        ONE_MACHINE);
                waves.add(user);
                cluster.after(Duration.ofSeconds(10), user::cancel);
            });
        }
        cluster.run(Duration.ofSeconds(130));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(waves).hasSize(6).allSatisfy(user -> assertThat(user.timeToFirstStart())
                .as("first start of %s", user.request.id())
                .isNotNull());
        assertThat(machinesOfLongJob)
                .as("machines on which tasks of the first job completed")
                .hasSize(1);
    }

    /** Guards against heartbeats that grow with each failed attempt until the machine is lost with its other work. */
    @Property(tries = 2, seed = "53")
    void wavesOfFailuresDoNotFillTheHeartbeat(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed, 1);
        Set<String> failingJobs = new HashSet<>();
        Set<String> machinesOfLongJob = new HashSet<>();
        cluster.setTaskFailurePredicate((machine, job) -> {
            if (!failingJobs.contains(job)) {
                machinesOfLongJob.add(machine);
            }
            return failingJobs.contains(job);
        });
        cluster.submit(1, "blue", Priority.HIGH, 20, 1, Duration.ofSeconds(100), ONE_MACHINE);
        cluster.run(Duration.ofSeconds(12));
        for (int i = 0; i < 6; i++) {
            TestUser user = cluster.submit(
                    10 + i, team(i), Priority.HIGH, TASKS_PER_JOB, TINY_TASK_CPUS, Duration.ofSeconds(1), ONE_MACHINE);
            failingJobs.add(user.request.id());
            cluster.after(Duration.ofSeconds(90), user::cancel);
        }
        cluster.run(Duration.ofSeconds(130));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(machinesOfLongJob)
                .as("machines on which tasks of the first job completed")
                .hasSize(1);
    }
}
