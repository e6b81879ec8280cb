package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.gullway.SimulatedCluster.JobConstraints;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Random scenarios in virtual time: the invariants hold under any faults, and all jobs finish after the faults. */
class SimulatedScenariosTest {
    private static final List<Fault> FAULTS = List.of(Fault.values());
    private static final List<JobConstraints> CONSTRAINTS = List.of(
            JobConstraints.in("a"),
            JobConstraints.in("b"),
            JobConstraints.SINGLE_ZONE,
            JobConstraints.SPREAD,
            new JobConstraints(List.of("large"), null, true, false, false),
            new JobConstraints(List.of("small"), null, false, true, true));

    /** Submits jobs with random constraints on zones and machine types at random times within the given duration. */
    static void submitConstrainedJobs(
            SimulatedCluster cluster, SplittableRandom random, int first, int jobs, Duration duration) {
        for (int i = first; i < first + jobs; i++) {
            int number = i;
            cluster.after(
                    Duration.ofMillis(random.nextLong(duration.toMillis())),
                    () -> cluster.submit(
                            number,
                            random.nextBoolean() ? "red" : "blue",
                            SimulatedCluster.PRIORITIES.get(random.nextInt(4)),
                            1 + random.nextInt(7),
                            random.nextBoolean() ? 4 : 8,
                            Duration.ofMillis(1000 + random.nextInt(20_000)),
                            CONSTRAINTS.get(random.nextInt(CONSTRAINTS.size()))));
        }
    }

    static void submitJobs(SimulatedCluster cluster, SplittableRandom random, int jobs, Duration duration) {
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            cluster.after(Duration.ofMillis(random.nextLong(duration.toMillis())), () -> {
                cluster.submit(
                        number,
                        random.nextBoolean() ? "red" : "blue",
                        SimulatedCluster.PRIORITIES.get(random.nextInt(4)),
                        1 + random.nextInt(9),
                        random.nextBoolean() ? 4 : 8,
                        Duration.ofMillis(1000 + random.nextInt(20_000)));
                if (random.nextInt(6) == 0) {
                    cluster.after(Duration.ofMillis(random.nextInt(15_000)), () -> cluster.users().stream()
                            .filter(user -> user.request.id().endsWith(String.format("%06d", number)))
                            .forEach(TestUser::cancel));
                }
            });
        }
    }

    @Test
    void allJobsFinishIfNoFaultOccurs() {
        SimulatedCluster cluster = new SimulatedCluster(1, 0, 4);
        submitJobs(cluster, new SplittableRandom(2), 30, Duration.ofSeconds(100));
        cluster.run(Duration.ofMinutes(4));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).isGreaterThan(60);
    }

    @Test
    void idleMachinesAreReleased() {
        SimulatedCluster cluster = new SimulatedCluster(3, 0, 4);
        submitJobs(cluster, new SplittableRandom(4), 5, Duration.ofSeconds(20));
        cluster.run(Duration.ofMinutes(5));
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.cloud.machineCount()).isZero();
    }

    /**
     * No machine may be declared lost after an outage of the state store, even if the outage exceeds the heartbeat
     * timeout. If a machine were declared lost, its tasks would be restarted, and the number of started tasks would
     * increase.
     */
    @Test
    void noMachineIsDeclaredLostAfterAStoreOutage() {
        SimulatedCluster cluster = new SimulatedCluster(5, 0, 4);
        cluster.submit(1, "blue", Priority.NORMAL, 6, 8, Duration.ofSeconds(70));
        cluster.run(Duration.ofSeconds(25));
        int startedBefore = cluster.startedTasks();
        cluster.store.setDown(true);
        cluster.run(Duration.ofSeconds(14));
        cluster.store.setDown(false);
        cluster.run(Duration.ofSeconds(100));
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).isEqualTo(startedBefore).isEqualTo(6);
    }

    private static void assertInvariantsUnderRandomFaults(
            long seed, SimulatedCluster cluster, SplittableRandom random) {
        runWithRandomFaults(cluster, random);
        assertThat(cluster.violations).as("seed %d", seed).isEmpty();
        assertThat(cluster.unfinished()).as("seed %d", seed).isEmpty();
    }

    /**
     * Runs for 200 s with two to six faults at random times and then for 10 min without faults. Users repeat
     * submissions.
     */
    static void runWithRandomFaults(SimulatedCluster cluster, SplittableRandom random) {
        int faults = 2 + random.nextInt(5);
        for (int i = 0; i < faults; i++) {
            Duration duration = Duration.ofMillis(500 + random.nextInt(30_000));
            Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
            SplittableRandom faultRandom = random.split();
            cluster.after(
                    Duration.ofMillis(10_000 + random.nextInt(120_000)),
                    () -> fault.inject(cluster, faultRandom, duration));
        }
        for (int i = 0; i < 10; i++) {
            cluster.after(Duration.ofSeconds(20 + random.nextInt(500)), () -> cluster.users()
                    .forEach(TestUser::resubmit));
        }
        cluster.run(Duration.ofSeconds(200));
        cluster.endFaults();
        cluster.run(Duration.ofMinutes(10));
    }

    @Property(tries = 40, seed = "20261120")
    void invariantsHoldUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(random.nextLong(), 0.01, 3);
        submitJobs(cluster, random.split(), 25, Duration.ofMinutes(2));
        assertInvariantsUnderRandomFaults(seed, cluster, random);
    }

    @Property(tries = 20, seed = "20261202")
    void invariantsHoldForConstrainedJobsUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(random.nextLong(), 0.01, 3);
        submitJobs(cluster, random.split(), 10, Duration.ofMinutes(2));
        submitConstrainedJobs(cluster, random.split(), 11, 15, Duration.ofMinutes(2));
        assertInvariantsUnderRandomFaults(seed, cluster, random);
    }
}
