package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeStateStore;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

/**
 * Deployments of one and two thousand machines with jobs of hundreds of tasks. The number of provisioned machines and
 * of changes in the state store must stay within bounds, even if hundreds of machines fail.
 */
class LargeDeploymentTest {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red", new Settings.Team("red", 9000, 30_000, 0, 0), "blue", new Settings.Team("blue", 9000, 30_000, 0, 0));
    private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(6);

    private static SimulatedCluster largeCluster(int seed, int capacity) {
        return new SimulatedCluster(seed, new SimulatedCluster.Setup(capacity, TEAMS, HEARTBEAT_INTERVAL, 0.0005));
    }

    private static void submitLargeJobs(SimulatedCluster cluster, int jobs, Duration interval, int runSeconds) {
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            cluster.after(
                    interval.multipliedBy(i),
                    () -> cluster.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Priority.NORMAL : Priority.HIGH,
                            50 + number * 5 % 350,
                            number % 4 == 0 ? 16 : 4,
                            Duration.ofSeconds(runSeconds + number % 20)));
        }
    }

    @Test
    void changesInTheStoreAreBoundedForAThousandMachines() {
        SimulatedCluster cluster = largeCluster(1, 150);
        submitLargeJobs(cluster, 70, Duration.ofMillis(700), 15);
        cluster.run(Duration.ofSeconds(150));
        int tasks =
                cluster.users().stream().mapToInt(user -> user.request.tasks()).sum();
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks())
                .as("started tasks, including restarts of preempted ones")
                .isLessThan(tasks * 3 / 2);
        assertThat(cluster.cloud.provisionedCount()).isGreaterThan(1000);
        int shardChanges = cluster.store.changeCount("live/groups");
        assertThat(shardChanges).as("changes of machine shards").isLessThan(cluster.cloud.provisionedCount());
        assertThat(cluster.store.changeCount("live/jobs"))
                .as("changes of job records")
                .isLessThan(tasks / 5);
        assertThat(cluster.store.changeCount("live/shares"))
                .as("changes of quota partitions in 150 s")
                .isLessThan(3 * 150);
        assertThat(cluster.store.largestValueBytes())
                .as("bytes of the largest record")
                .isLessThanOrEqualTo(FakeStateStore.MAX_VALUE_BYTES);
    }

    /**
     * Of 2,000 machines, 400 are partitioned for 40 s. Then only one of the three controllers runs for 20 s, and
     * finally all controllers crash twice.
     */
    @Test
    void partitionAndControllerCrashesWithTwoThousandMachines() {
        SimulatedCluster cluster = largeCluster(2, 250);
        submitLargeJobs(cluster, 60, Duration.ofMillis(500), 40);
        cluster.run(Duration.ofSeconds(70));
        int provisioned = cluster.cloud.provisionedCount();
        assertThat(provisioned).isGreaterThanOrEqualTo(2000);
        int shardChangesBefore = cluster.store.changeCount("live/groups");
        List<FakeAgent> partitioned = cluster.cloud.agents().stream().limit(400).toList();
        for (FakeAgent agent : partitioned) {
            cluster.network.cut(agent.name(), "*");
            cluster.network.cut("*", agent.address());
            cluster.after(Duration.ofSeconds(40), () -> {
                cluster.network.heal(agent.name(), "*");
                cluster.network.heal("*", agent.address());
            });
        }
        cluster.run(Duration.ofSeconds(60));
        assertThat(cluster.cloud.provisionedCount() - provisioned)
                .as("machines provisioned during the partition")
                .isLessThanOrEqualTo(400);
        assertThat(cluster.store.changeCount("live/groups") - shardChangesBefore)
                .as("changes of machine shards: machines become unresponsive, lost, released or new")
                .isLessThan(6 * 2000 / 16);
        cluster.crash("perch-0", Duration.ofSeconds(20));
        cluster.crash("perch-1", Duration.ofSeconds(20));
        cluster.run(Duration.ofSeconds(30));
        cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofMillis(300)));
        cluster.run(Duration.ofSeconds(10));
        cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofSeconds(5)));
        cluster.run(Duration.ofMinutes(3));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.cloud.provisionedCount() - provisioned)
                .as("machines provisioned during all faults; controller crashes require none")
                .isLessThanOrEqualTo(400);
    }
}
