package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.gullway.SimulatedCluster.Bounds;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Whole scenarios in virtual time: whatever fails, the rules hold, and afterwards all jobs finish. */
class SimulatedScenariosTest {
    private static final List<Fault> FAULTS = List.of(Fault.values());
    private static final List<Bounds> BOUNDS = List.of(
            Bounds.in("a"),
            Bounds.in("b"),
            Bounds.ONE_ZONE,
            Bounds.SPREAD,
            new Bounds(List.of("large"), null, true, false, false),
            new Bounds(List.of("small"), null, false, true, true));

    /** Submits jobs with constraints on zones and machine types at random moments. */
    static void submitZoneBoundJobs(
            SimulatedCluster cluster, SplittableRandom random, int first, int jobs, Duration span) {
        for (int i = first; i < first + jobs; i++) {
            int number = i;
            cluster.after(
                    Duration.ofMillis(random.nextLong(span.toMillis())),
                    () -> cluster.submit(
                            number,
                            random.nextBoolean() ? "red" : "blue",
                            SimulatedCluster.PRIORITIES.get(random.nextInt(4)),
                            1 + random.nextInt(7),
                            random.nextBoolean() ? 4 : 8,
                            Duration.ofMillis(1000 + random.nextInt(20_000)),
                            BOUNDS.get(random.nextInt(BOUNDS.size()))));
        }
    }

    static void submitJobs(SimulatedCluster cluster, SplittableRandom random, int jobs, Duration span) {
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            cluster.after(Duration.ofMillis(random.nextLong(span.toMillis())), () -> {
                cluster.submit(
                        number,
                        random.nextBoolean() ? "red" : "blue",
                        SimulatedCluster.PRIORITIES.get(random.nextInt(4)),
                        1 + random.nextInt(9),
                        random.nextBoolean() ? 4 : 8,
                        Duration.ofMillis(1000 + random.nextInt(20_000)));
                if (random.nextInt(6) == 0) {
                    cluster.after(Duration.ofMillis(random.nextInt(15_000)), () -> cluster.users().stream()
                            .filter(u -> u.request.id().endsWith(String.format("%06d", number)))
                            .forEach(TestUser::cancel));
                }
            });
        }
    }

    @Test
    void allJobsFinishWithoutFaults() {
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

    /** An outage of the store that is longer than the timeout for heartbeats is no reason to declare machines lost. */
    @Test
    void noMachineIsDeclaredLostAfterAStoreOutage() {
        SimulatedCluster cluster = new SimulatedCluster(5, 0, 4);
        cluster.submit(1, "blue", Priority.NORMAL, 6, 8, Duration.ofSeconds(70));
        cluster.run(Duration.ofSeconds(25));
        int before = cluster.startedTasks();
        cluster.store.setDown(true);
        cluster.run(Duration.ofSeconds(14));
        cluster.store.setDown(false);
        cluster.run(Duration.ofSeconds(100));
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).isEqualTo(before).isEqualTo(6);
    }

    private static void assertInvariantsUnderRandomFaults(
            long seed, SimulatedCluster cluster, SplittableRandom random) {
        runWithRandomFaults(cluster, random);
        assertThat(cluster.violations).as("seed %d", seed).isEmpty();
        assertThat(cluster.unfinished()).as("seed %d", seed).isEmpty();
    }

    /** Several faults at random moments, a span without faults at the end, and repeated submissions throughout. */
    static void runWithRandomFaults(SimulatedCluster cluster, SplittableRandom random) {
        int faults = 2 + random.nextInt(5);
        for (int i = 0; i < faults; i++) {
            Duration span = Duration.ofMillis(500 + random.nextInt(30_000));
            Fault fault = FAULTS.get(random.nextInt(FAULTS.size()));
            SplittableRandom own = random.split();
            cluster.after(Duration.ofMillis(10_000 + random.nextInt(120_000)), () -> fault.inject(cluster, own, span));
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
    void invariantsHoldForZoneBoundJobsUnderRandomFaults(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(random.nextLong(), 0.01, 3);
        submitJobs(cluster, random.split(), 10, Duration.ofMinutes(2));
        submitZoneBoundJobs(cluster, random.split(), 11, 15, Duration.ofMinutes(2));
        assertInvariantsUnderRandomFaults(seed, cluster, random);
    }
}
