package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.clusterWithGuestTeam;
import static org.gullway.FaultScenarios.submitInBothTeams;

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
import org.gullway.fake.FakeAgent;
import org.gullway.fake.FakeStateStore;
import org.gullway.protocol.Priority;

/** Jobs in unusual numbers or that cannot succeed: huge arrays, many tiny jobs, jobs that fail on every machine. */
class ScavengerClassTest {
    private static final int GUEST_ARRAY = 1;
    private static final int GUEST_LARGEST = 2;

    private static void assertServed(List<TestUser> users, Duration longestWait) {
        assertThat(users).isNotEmpty().allSatisfy(user -> assertThat(user.timeToFirstStart())
                .isNotNull()
                .isLessThan(longestWait));
    }

    /**
     * One huge array, a job of large tasks, and four tiny jobs a second, all of a team without quota, beside a steady
     * load of other teams.
     */
    @Property(tries = 1, seed = "41")
    void aHugeArrayAndManyTinyJobsOfATeamWithoutQuota(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 12);
        cluster.submit(GUEST_ARRAY, "guest", Priority.IDLE, 25_000, 0.25, Duration.ofSeconds(45));
        cluster.submit(GUEST_LARGEST, "guest", Priority.IDLE, 8, 16, Duration.ofSeconds(20));
        for (int i = 0; i < 720; i++) {
            int number = 1000 + i;
            cluster.after(
                    Duration.ofMillis(250L * i),
                    () -> cluster.submit(number, "guest", Priority.NORMAL, 1, 0.25, Duration.ofSeconds(5)));
        }
        submitInBothTeams(cluster, 100, 60, Duration.ofSeconds(3));
        cluster.run(Duration.ofMinutes(4));
        assertThat(cluster.violations).isEmpty();
        List<TestUser> guests = cluster.users().stream()
                .filter(u -> u.request.team().equals("guest"))
                .toList();
        List<TestUser> others = cluster.users().stream()
                .filter(u -> !u.request.team().equals("guest"))
                .toList();
        assertServed(others, Duration.ofSeconds(40));
        assertServed(guests, Duration.ofMinutes(4));
        assertThat(others).allMatch(TestUser::isFinished);
        assertThat(guests.stream()
                        .filter(u -> u.request.tasks() == 1)
                        .filter(TestUser::isFinished)
                        .count())
                .as("tiny jobs done")
                .isGreaterThanOrEqualTo(700);
        assertThat(cluster.startedTasks()).as("the array's tasks as well").isGreaterThan(2000);
        assertThat(cluster.store.largestValueBytes()).isLessThanOrEqualTo(FakeStateStore.MAX_VALUE_BYTES);
        assertThat(cluster.store.changeCount("live/jobs"))
                .as("changes for %s jobs", cluster.users().size())
                .isLessThan(5 * cluster.users().size() + 4 * 240);
    }

    /** Four tiny jobs a second for three minutes, a quarter of them cancelled at various moments. */
    @Property(tries = 2, seed = "42")
    void tinyJobsOfWhichAQuarterIsCancelledEndInTime(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 4);
        for (int i = 1; i <= 720; i++) {
            int number = i;
            cluster.after(Duration.ofMillis(250L * i), () -> {
                TestUser user = cluster.submit(
                        number,
                        number % 3 == 0 ? "guest" : "blue",
                        number % 2 == 0 ? Priority.NORMAL : Priority.IDLE,
                        1,
                        0.25,
                        Duration.ofSeconds(5));
                if (number % 4 == 0) {
                    cluster.after(Duration.ofMillis(number * 997L % 9000), user::cancel);
                }
            });
        }
        cluster.run(Duration.ofMinutes(3));
        long late = cluster.users().subList(0, 560).stream()
                .filter(user -> !user.isFinished())
                .count();
        assertThat(late).as("not over after 40 s").isZero();
        cluster.run(Duration.ofSeconds(30));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * Three jobs fail on every machine until their users cancel them; others run beside them and are not preempted.
     * Guards the pauses of {@code JobBackoff.paused}. That healthy machines are kept is {@code
     * AgentReconcilerTest.jobsThatFailEverywhereDoNotMakeMachinesFaulty}: here they complete other tasks as well.
     */
    @Property(tries = 3, seed = "43")
    void jobsThatFailOnEveryMachine(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 4);
        Set<String> failing = new HashSet<>();
        Map<String, List<Instant>> failures = new HashMap<>();
        cluster.failTasks((machine, job) -> {
            if (failing.contains(job)) {
                failures.computeIfAbsent(job, j -> new ArrayList<>()).add(cluster.time.now());
            }
            return failing.contains(job);
        });
        submitSteadily(cluster, 100, 90);
        cluster.run(Duration.ofSeconds(20));
        for (int i = 1; i <= 3; i++) {
            int number = i;
            TestUser user = cluster.submit(
                    number, number == 3 ? "guest" : "blue", Priority.NORMAL, 6, 4, Duration.ofSeconds(2));
            failing.add(user.request.id());
        }
        cluster.run(Duration.ofSeconds(150));
        assertThat(failures).hasSize(3).allSatisfy((job, times) -> {
            assertThat(times).as("of %s", job).hasSizeLessThan(90);
            Instant lastMinutes = cluster.time.now().minusSeconds(75);
            assertThat(times.stream().filter(lastMinutes::isBefore).count())
                    .as("of %s in the last 75 s, with pauses of 30 s", job)
                    .isLessThanOrEqualTo(18);
        });
        int failed = failures.values().stream().mapToInt(List::size).sum();
        assertThat(cluster.startedTasks() - failed)
                .as("starts of others, and at most all tasks of the failing jobs that run now")
                .isLessThanOrEqualTo(2 * 90 + 3 * 6);
        cluster.users().stream().filter(u -> failing.contains(u.request.id())).forEach(TestUser::cancel);
        cluster.run(Duration.ofSeconds(60));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * Every task fails on one machine: it is released, and all jobs finish elsewhere. Guards {@code
     * AgentReconciler.isFaulty}.
     */
    @Property(tries = 3, seed = "44")
    void aMachineOnWhichEverythingFailsIsReleased(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 4);
        submitSteadily(cluster, 100, 60);
        cluster.run(Duration.ofSeconds(20));
        String faulty = cluster.cloud.agents().stream()
                .filter(FakeAgent::alive)
                .map(FakeAgent::name)
                .findFirst()
                .orElseThrow();
        cluster.failTasks((machine, job) -> machine.equals(faulty));
        cluster.run(Duration.ofSeconds(60));
        assertThat(agentNames(cluster)).doesNotContain(faulty);
        cluster.run(Duration.ofSeconds(90));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /** Two jobs every three seconds. */
    private static void submitSteadily(SimulatedCluster cluster, int first, int jobs) {
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            cluster.after(
                    Duration.ofMillis(1500L * i),
                    () -> cluster.submit(
                            number, number % 2 == 0 ? "red" : "blue", Priority.HIGH, 2, 4, Duration.ofSeconds(6)));
        }
    }

    private static Set<String> agentNames(SimulatedCluster cluster) {
        Set<String> names = new HashSet<>();
        cluster.cloud.agents().stream().map(FakeAgent::name).forEach(names::add);
        return names;
    }
}
