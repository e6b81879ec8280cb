package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.FakeWorker;
import org.gullway.protocol.Rank;
import org.gullway.protocol.Settings;

/** Work in unusual amounts or that cannot succeed: huge arrays, swarms of tiny jobs, jobs that fail on every machine. */
class GuestWorkTest {
    private static final int GUEST_ARRAY = 1;
    private static final int GUEST_LARGEST = 2;

    private static SimulatedWorld worldWithGuest(int seed, int capacity) {
        Map<String, Settings.Team> teams = new HashMap<>(SimulatedWorld.Shape.SMALL_TEAMS);
        teams.put("guest", new Settings.Team("guest", 0, 0, 0, 0));
        return new SimulatedWorld(seed, new SimulatedWorld.Shape(capacity, teams, Duration.ofSeconds(3), 0));
    }

    private static void assertServed(List<User> users, Duration longestWait) {
        assertThat(users)
                .isNotEmpty()
                .allSatisfy(user -> assertThat(user.waited()).isNotNull().isLessThan(longestWait));
    }

    /**
     * One huge array, a job of large tasks, and four tiny jobs a second, all of a guest, beside steady work of others.
     */
    @Property(tries = 1, seed = "41")
    void aHugeArrayAndASwarmOfAGuest(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = worldWithGuest(seed, 12);
        world.submit(GUEST_ARRAY, "guest", Rank.IDLE, 25_000, 0.25, Duration.ofSeconds(45));
        world.submit(GUEST_LARGEST, "guest", Rank.IDLE, 8, 16, Duration.ofSeconds(20));
        for (int i = 0; i < 720; i++) {
            int number = 1000 + i;
            world.after(
                    Duration.ofMillis(250L * i),
                    () -> world.submit(number, "guest", Rank.NORMAL, 1, 0.25, Duration.ofSeconds(5)));
        }
        for (int i = 0; i < 60; i++) {
            int number = 100 + i;
            world.after(
                    Duration.ofSeconds(3L * i),
                    () -> world.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Rank.NORMAL : Rank.HIGH,
                            2,
                            4,
                            Duration.ofSeconds(8)));
        }
        world.run(Duration.ofSeconds(240));
        assertThat(world.broken).isEmpty();
        List<User> guests = world.users().stream()
                .filter(u -> u.request.team().equals("guest"))
                .toList();
        List<User> residents = world.users().stream()
                .filter(u -> !u.request.team().equals("guest"))
                .toList();
        assertServed(residents, Duration.ofSeconds(40));
        assertServed(guests, Duration.ofMinutes(4));
        assertThat(residents).allMatch(User::over);
        assertThat(guests.stream()
                        .filter(u -> u.request.tasks() == 1)
                        .filter(User::over)
                        .count())
                .as("tiny jobs done")
                .isGreaterThanOrEqualTo(700);
        assertThat(world.started()).as("the array's tasks as well").isGreaterThan(2000);
        assertThat(world.store.largestValue()).isLessThanOrEqualTo(FakeStateStore.VALUE_BYTES);
        assertThat(world.store.changes("live/jobs"))
                .as("changes for %s jobs", world.users().size())
                .isLessThan(5 * world.users().size() + 4 * 240);
    }

    /** Four tiny jobs a second for three minutes, a quarter of them cancelled at any moment of their lives. */
    @Property(tries = 2, seed = "42")
    void tinyJobsOfWhichAQuarterIsCancelledEndInTime(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = worldWithGuest(seed, 4);
        for (int i = 1; i <= 720; i++) {
            int number = i;
            world.after(Duration.ofMillis(250L * i), () -> {
                User user = world.submit(
                        number,
                        number % 3 == 0 ? "guest" : "blue",
                        number % 2 == 0 ? Rank.NORMAL : Rank.IDLE,
                        1,
                        0.25,
                        Duration.ofSeconds(5));
                if (number % 4 == 0) {
                    world.after(Duration.ofMillis(number * 997L % 9000), user::cancel);
                }
            });
        }
        world.run(Duration.ofSeconds(180));
        long late = world.users().subList(0, 560).stream()
                .filter(user -> !user.over())
                .count();
        assertThat(late).as("not over after 40 s").isZero();
        world.run(Duration.ofSeconds(30));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }

    /**
     * Three jobs fail on every machine until their users cancel them; others run beside them and are not displaced.
     * Seen to fail without the pauses ({@code JobBackoff.paused} false). That good machines stay is
     * {@code MachineControlTest.jobsThatFailEverywhereDoNotMakeMachinesFaulty}: here they complete other tasks as well.
     */
    @Property(tries = 3, seed = "43")
    void jobsThatFailOnEveryMachine(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = worldWithGuest(seed, 4);
        Set<String> failing = new HashSet<>();
        Map<String, List<Instant>> failures = new HashMap<>();
        world.failing((machine, job) -> {
            if (failing.contains(job)) {
                failures.computeIfAbsent(job, j -> new ArrayList<>()).add(world.time.now());
            }
            return failing.contains(job);
        });
        steadyWork(world, 100, 90);
        world.run(Duration.ofSeconds(20));
        for (int i = 1; i <= 3; i++) {
            int number = i;
            User user = world.submit(number, number == 3 ? "guest" : "blue", Rank.NORMAL, 6, 4, Duration.ofSeconds(2));
            failing.add(user.request.id());
        }
        world.run(Duration.ofSeconds(150));
        assertThat(failures).hasSize(3).allSatisfy((job, times) -> {
            assertThat(times).as("of %s", job).hasSizeLessThan(90);
            Instant lastMinutes = world.time.now().minusSeconds(75);
            assertThat(times.stream().filter(lastMinutes::isBefore).count())
                    .as("of %s in the last 75 s, with pauses of 30 s", job)
                    .isLessThanOrEqualTo(18);
        });
        int failed = failures.values().stream().mapToInt(List::size).sum();
        assertThat(world.started() - failed)
                .as("starts of others, and at most all tasks of the failing jobs that run now")
                .isLessThanOrEqualTo(2 * 90 + 3 * 6);
        world.users().stream().filter(u -> failing.contains(u.request.id())).forEach(User::cancel);
        world.run(Duration.ofSeconds(60));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }

    /**
     * Everything fails on one machine: it goes, and all jobs are done elsewhere. Seen to fail without
     * {@code MachineControl.isFaulty}.
     */
    @Property(tries = 3, seed = "44")
    void aMachineOnWhichEverythingFailsIsReturned(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = worldWithGuest(seed, 4);
        steadyWork(world, 100, 60);
        world.run(Duration.ofSeconds(20));
        String faulty = world.cloud.workers().stream()
                .filter(FakeWorker::alive)
                .map(FakeWorker::name)
                .findFirst()
                .orElseThrow();
        world.failing((machine, job) -> machine.equals(faulty));
        world.run(Duration.ofSeconds(60));
        assertThat(names(world)).doesNotContain(faulty);
        world.run(Duration.ofSeconds(90));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }

    /** Two jobs every three seconds. */
    private static void steadyWork(SimulatedWorld world, int first, int jobs) {
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            world.after(
                    Duration.ofMillis(1500L * i),
                    () -> world.submit(
                            number, number % 2 == 0 ? "red" : "blue", Rank.HIGH, 2, 4, Duration.ofSeconds(6)));
        }
    }

    private static Set<String> names(SimulatedWorld world) {
        Set<String> names = new HashSet<>();
        world.cloud.workers().stream().map(FakeWorker::name).forEach(names::add);
        return names;
    }
}
