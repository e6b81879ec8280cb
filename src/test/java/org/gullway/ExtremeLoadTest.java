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

/**
 * Extreme numbers of jobs and tasks, and tasks that fail: a huge array, many one-task jobs, jobs that fail on every
 * machine, and a machine on which all tasks fail.
 */
class ExtremeLoadTest {
    private static final int GUEST_ARRAY_JOB_NUMBER = 1;
    private static final int GUEST_LARGE_TASKS_JOB_NUMBER = 2;

    private static void assertStartedWithin(List<TestUser> users, Duration longestWait) {
        assertThat(users).isNotEmpty().allSatisfy(user -> assertThat(user.timeToFirstStart())
                .isNotNull()
                .isLessThan(longestWait));
    }

    /**
     * A team without a guaranteed quota submits an array of 25,000 tasks, a job of large tasks, and four one-task jobs
     * per second. The jobs of the other teams must start within 40 s, and the number of changes of job records must
     * stay within bounds.
     */
    @Property(tries = 1, seed = "41")
    void aHugeArrayAndManyOneTaskJobsDoNotDelayOtherTeams(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 12);
        cluster.submit(GUEST_ARRAY_JOB_NUMBER, "guest", Priority.IDLE, 25_000, 0.25, Duration.ofSeconds(45));
        cluster.submit(GUEST_LARGE_TASKS_JOB_NUMBER, "guest", Priority.IDLE, 8, 16, Duration.ofSeconds(20));
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
                .filter(user -> user.request.team().equals("guest"))
                .toList();
        List<TestUser> others = cluster.users().stream()
                .filter(user -> !user.request.team().equals("guest"))
                .toList();
        assertStartedWithin(others, Duration.ofSeconds(40));
        assertStartedWithin(guests, Duration.ofMinutes(4));
        assertThat(others).allMatch(TestUser::isFinished);
        assertThat(guests.stream()
                        .filter(user -> user.request.tasks() == 1)
                        .filter(TestUser::isFinished)
                        .count())
                .as("finished one-task jobs")
                .isGreaterThanOrEqualTo(700);
        assertThat(cluster.startedTasks())
                .as("started tasks, including tasks of the array")
                .isGreaterThan(2000);
        assertThat(cluster.store.largestValueBytes()).isLessThanOrEqualTo(FakeStateStore.MAX_VALUE_BYTES);
        assertThat(cluster.store.changeCount("live/jobs"))
                .as(
                        "changes of job records: five per job for %s jobs, and four per second",
                        cluster.users().size())
                .isLessThan(5 * cluster.users().size() + 4 * 240);
    }

    /**
     * Users submit four one-task jobs per second for three minutes and cancel a quarter of them at various times. The
     * first 560 jobs must be finished 40 s after the last of them was submitted.
     */
    @Property(tries = 2, seed = "42")
    void manyOneTaskJobsWithCancellationsFinishInTime(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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
        long unfinished = cluster.users().subList(0, 560).stream()
                .filter(user -> !user.isFinished())
                .count();
        assertThat(unfinished).as("unfinished jobs after 40 s").isZero();
        cluster.run(Duration.ofSeconds(30));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * The tasks of three jobs fail on every machine until their users cancel the jobs. The back-off of
     * {@code JobBackoff} must limit their retries, and they must not preempt tasks of other jobs.
     * {@code MachineLifecycleTest} checks that such jobs do not make machines faulty; this test cannot, since its
     * machines also complete tasks of other jobs.
     */
    @Property(tries = 3, seed = "43")
    void jobsThatFailOnEveryMachineAreRetriedWithBackoff(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 4);
        Set<String> failingJobs = new HashSet<>();
        Map<String, List<Instant>> failures = new HashMap<>();
        cluster.setTaskFailurePredicate((machine, job) -> {
            if (failingJobs.contains(job)) {
                failures.computeIfAbsent(job, id -> new ArrayList<>()).add(cluster.time.now());
            }
            return failingJobs.contains(job);
        });
        submitTwoTaskJobs(cluster, 100, 90);
        cluster.run(Duration.ofSeconds(20));
        for (int i = 1; i <= 3; i++) {
            int number = i;
            TestUser user = cluster.submit(
                    number, number == 3 ? "guest" : "blue", Priority.NORMAL, 6, 4, Duration.ofSeconds(2));
            failingJobs.add(user.request.id());
        }
        cluster.run(Duration.ofSeconds(150));
        assertThat(failures).hasSize(3).allSatisfy((job, times) -> {
            assertThat(times).as("failures of %s", job).hasSizeLessThan(90);
            Instant recently = cluster.time.now().minusSeconds(75);
            assertThat(times.stream().filter(recently::isBefore).count())
                    .as("failures of %s in the last 75 s: three attempts of six tasks, with a back-off of 30 s", job)
                    .isLessThanOrEqualTo(18);
        });
        int failed = failures.values().stream().mapToInt(List::size).sum();
        assertThat(cluster.startedTasks() - failed)
                .as("started tasks of other jobs, plus the tasks of the failing jobs that run now")
                .isLessThanOrEqualTo(2 * 90 + 3 * 6);
        cluster.users().stream()
                .filter(user -> failingJobs.contains(user.request.id()))
                .forEach(TestUser::cancel);
        cluster.run(Duration.ofSeconds(60));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * All tasks on one machine fail. {@code JobFailureTracker} must detect that the machine is faulty, so that it is
     * released and all jobs finish on other machines.
     */
    @Property(tries = 3, seed = "44")
    void aMachineOnWhichAllTasksFailIsReleased(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 4);
        submitTwoTaskJobs(cluster, 100, 60);
        cluster.run(Duration.ofSeconds(20));
        String faulty = cluster.cloud.agents().stream()
                .filter(FakeAgent::alive)
                .map(FakeAgent::name)
                .findFirst()
                .orElseThrow();
        cluster.setTaskFailurePredicate((machine, job) -> machine.equals(faulty));
        cluster.run(Duration.ofSeconds(60));
        assertThat(agentNames(cluster)).doesNotContain(faulty);
        cluster.run(Duration.ofSeconds(90));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /** Submits one job of two tasks every 1.5 s, alternately of teams red and blue. Each task runs for 6 s. */
    private static void submitTwoTaskJobs(SimulatedCluster cluster, int first, int jobs) {
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
