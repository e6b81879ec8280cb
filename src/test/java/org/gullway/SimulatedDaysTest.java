package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.gullway.SimulatedWorld.Bounds;
import org.gullway.protocol.Rank;
import org.junit.jupiter.api.Test;

/** Whole days in virtual time: whatever fails, the rules hold, and afterwards all work gets done. */
class SimulatedDaysTest {
    private static final List<Bounds> BOUNDS = List.of(
            Bounds.in("a"),
            Bounds.in("b"),
            Bounds.ONE_ZONE,
            Bounds.SPREAD,
            new Bounds(List.of("large"), null, true, false, false),
            new Bounds(List.of("small"), null, false, true, true));

    /** Jobs that may be in one zone only, or spread over both. */
    static void boundWork(SimulatedWorld world, SplittableRandom random, int first, int jobs, Duration span) {
        for (int i = first; i < first + jobs; i++) {
            int number = i;
            world.after(
                    Duration.ofMillis(random.nextLong(span.toMillis())),
                    () -> world.submit(
                            number,
                            random.nextBoolean() ? "red" : "blue",
                            Rank.values()[random.nextInt(4)],
                            1 + random.nextInt(7),
                            random.nextBoolean() ? 4 : 8,
                            Duration.ofMillis(1000 + random.nextInt(20_000)),
                            BOUNDS.get(random.nextInt(BOUNDS.size()))));
        }
    }

    static void work(SimulatedWorld world, SplittableRandom random, int jobs, Duration span) {
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            world.after(Duration.ofMillis(random.nextLong(span.toMillis())), () -> {
                world.submit(
                        number,
                        random.nextBoolean() ? "red" : "blue",
                        Rank.values()[random.nextInt(4)],
                        1 + random.nextInt(9),
                        random.nextBoolean() ? 4 : 8,
                        Duration.ofMillis(1000 + random.nextInt(20_000)));
                if (random.nextInt(6) == 0) {
                    world.after(Duration.ofMillis(random.nextInt(15_000)), () -> world.users().stream()
                            .filter(u -> u.request.id().endsWith(String.format("%06d", number)))
                            .forEach(User::cancel));
                }
            });
        }
    }

    @Test
    void aQuietDayIsServed() {
        SimulatedWorld world = new SimulatedWorld(1, 0, 4);
        work(world, new SplittableRandom(2), 30, Duration.ofSeconds(100));
        world.run(Duration.ofSeconds(240));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
        assertThat(world.started()).isGreaterThan(60);
    }

    @Test
    void machinesWithNothingToDoAreGivenBack() {
        SimulatedWorld world = new SimulatedWorld(3, 0, 4);
        work(world, new SplittableRandom(4), 5, Duration.ofSeconds(20));
        world.run(Duration.ofSeconds(300));
        assertThat(world.unfinished()).isEmpty();
        assertThat(world.cloud.rented()).isZero();
    }

    /** Once, after an outage that was longer than the silence allowed, all machines were given up (simulated day 99336). */
    @Test
    void noMachineIsGivenUpAfterAnOutage() {
        SimulatedWorld world = new SimulatedWorld(5, 0, 4);
        world.submit(1, "blue", Rank.NORMAL, 6, 8, Duration.ofSeconds(70));
        world.run(Duration.ofSeconds(25));
        int before = world.started();
        world.store.setDown(true);
        world.run(Duration.ofSeconds(14));
        world.store.setDown(false);
        world.run(Duration.ofSeconds(100));
        assertThat(world.unfinished()).isEmpty();
        assertThat(world.started()).isEqualTo(before).isEqualTo(6);
    }

    private static void roughDay(long seed, SimulatedWorld world, SplittableRandom random) {
        playRoughDay(world, random);
        assertThat(world.broken).as("seed %d", seed).isEmpty();
        assertThat(world.unfinished()).as("seed %d", seed).isEmpty();
    }

    /** Several troubles at random moments, a calm end, and submissions that are repeated all along. */
    static void playRoughDay(SimulatedWorld world, SplittableRandom random) {
        int troubles = 2 + random.nextInt(5);
        for (int i = 0; i < troubles; i++) {
            Duration span = Duration.ofMillis(500 + random.nextInt(30_000));
            Fault trouble = Fault.values()[random.nextInt(Fault.values().length)];
            SplittableRandom own = random.split();
            world.after(Duration.ofMillis(10_000 + random.nextInt(120_000)), () -> trouble.strike(world, own, span));
        }
        for (int i = 0; i < 10; i++) {
            world.after(Duration.ofSeconds(20 + random.nextInt(500)), () -> world.users()
                    .forEach(User::submitAgain));
        }
        world.run(Duration.ofSeconds(200));
        world.calm();
        world.run(Duration.ofSeconds(600));
    }

    @Property(tries = 40, seed = "20261120")
    void theRulesHoldOnRoughDays(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedWorld world = new SimulatedWorld(random.nextLong(), 0.01, 3);
        work(world, random.split(), 25, Duration.ofSeconds(120));
        roughDay(seed, world, random);
    }

    @Property(tries = 20, seed = "20261202")
    void theRulesHoldForBoundJobsOnRoughDays(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedWorld world = new SimulatedWorld(random.nextLong(), 0.01, 3);
        work(world, random.split(), 10, Duration.ofSeconds(120));
        boundWork(world, random.split(), 11, 15, Duration.ofSeconds(120));
        roughDay(seed, world, random);
    }
}
