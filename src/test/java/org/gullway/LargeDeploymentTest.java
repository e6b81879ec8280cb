package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.FakeWorker;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

/** Two thousand machines and jobs of hundreds of tasks: what they may cost, in counts, also when much fails at once. */
class LargeDeploymentTest {
    private static final Map<String, Settings.Team> TEAMS = Map.of(
            "red", new Settings.Team("red", 9000, 30_000, 0, 0), "blue", new Settings.Team("blue", 9000, 30_000, 0, 0));
    private static final Duration REPORT = Duration.ofSeconds(6);

    private static SimulatedWorld world(int seed, int capacity) {
        return new SimulatedWorld(seed, new SimulatedWorld.Shape(capacity, TEAMS, REPORT, 0.0005));
    }

    private static void work(SimulatedWorld world, int jobs, Duration between, int runSeconds) {
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            world.after(
                    between.multipliedBy(i),
                    () -> world.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Rank.NORMAL : Rank.HIGH,
                            50 + number * 5 % 350,
                            number % 4 == 0 ? 16 : 4,
                            Duration.ofSeconds(runSeconds + number % 20)));
        }
    }

    @Test
    void aThousandMachinesCostFewChanges() {
        SimulatedWorld world = world(1, 150);
        work(world, 70, Duration.ofMillis(700), 15);
        world.run(Duration.ofSeconds(150));
        int tasks = world.users().stream().mapToInt(u -> u.request.tasks()).sum();
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
        assertThat(world.started())
                .as("starts, with those stopped for urgent work")
                .isLessThan(tasks * 3 / 2);
        assertThat(world.cloud.rentedEver()).isGreaterThan(1000);
        int machineChanges = world.store.changes("live/groups");
        assertThat(machineChanges).as("changes for machines").isLessThan(world.cloud.rentedEver());
        assertThat(world.store.changes("live/jobs")).as("changes for jobs").isLessThan(tasks / 5);
        assertThat(world.store.changes("live/shares"))
                .as("changes for shares, less than three a second")
                .isLessThan(3 * 150);
        assertThat(world.store.largestValue()).as("bytes of a record").isLessThanOrEqualTo(FakeStateStore.VALUE_BYTES);
    }

    /** All at 2,000 machines: a fifth silent for long, a controller alone with all workers, then all restarted. */
    @Test
    void muchFailsAtOnceOnTwoThousandMachines() {
        SimulatedWorld world = world(2, 250);
        work(world, 60, Duration.ofMillis(500), 40);
        world.run(Duration.ofSeconds(70));
        int rented = world.cloud.rentedEver();
        assertThat(rented).isGreaterThanOrEqualTo(2000);
        int before = world.store.changes("live/groups");
        List<FakeWorker> silent = world.cloud.workers().stream().limit(400).toList();
        for (FakeWorker worker : silent) {
            world.network.cut(worker.name(), "*");
            world.network.cut("*", worker.address());
            world.after(Duration.ofSeconds(40), () -> {
                world.network.heal(worker.name(), "*");
                world.network.heal("*", worker.address());
            });
        }
        world.run(Duration.ofSeconds(60));
        assertThat(world.cloud.rentedEver() - rented).as("at most replaced").isLessThanOrEqualTo(400);
        assertThat(world.store.changes("live/groups") - before)
                .as("changes of groups, which all lose machines: silent, given up, gone, new")
                .isLessThan(6 * 2000 / 16);
        world.crash("perch-0", Duration.ofSeconds(20));
        world.crash("perch-1", Duration.ofSeconds(20));
        world.run(Duration.ofSeconds(30));
        world.nodes().forEach(node -> world.crash(node, Duration.ofMillis(300)));
        world.run(Duration.ofSeconds(10));
        world.nodes().forEach(node -> world.crash(node, Duration.ofSeconds(5)));
        world.run(Duration.ofSeconds(180));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
        assertThat(world.cloud.rentedEver() - rented)
                .as("no machine is replaced for restarts")
                .isLessThanOrEqualTo(400);
    }
}
