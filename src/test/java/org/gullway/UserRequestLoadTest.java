package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.seconds;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Priority;

/** High rates of user requests, and requests at critical times, without injected faults. */
class UserRequestLoadTest {
    private static final Duration MAX_COMPLETION_DELAY = Duration.ofSeconds(3);

    /**
     * Users submit four one-task jobs per second for two minutes and cancel a quarter of them, half of these
     * immediately after the submission. The controller of a machine must report a completion without delay to the
     * controller that writes the job's record, since a completed job must be reported as done within 3 s.
     */
    @Property(tries = 2, seed = "221")
    void fourSingleTaskJobsASecondWithAQuarterCancelled(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 4);
        int jobs = 480;
        int[] lateCompletions = new int[1];
        cluster.onAllTasksCompleted(user -> cluster.after(MAX_COMPLETION_DELAY.minusMillis(200), () -> {
            user.queryAllControllers();
            cluster.after(Duration.ofMillis(200), () -> lateCompletions[0] += user.isFinished() ? 0 : 1);
        }));
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            cluster.after(Duration.ofMillis(250L * i), () -> {
                TestUser user = cluster.submit(
                        number,
                        number % 3 == 0 ? "red" : "blue",
                        number % 2 == 0 ? Priority.HIGH : Priority.NORMAL,
                        1,
                        1,
                        seconds(1 + number % 7));
                if (number % 4 == 1) {
                    cluster.after(seconds(number % 8 == 1 ? 0 : 0.2 * (number % 19)), user::cancel);
                }
            });
        }
        cluster.run(seconds(jobs / 4 + 10));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(lateCompletions[0])
                .as("completed jobs that were not reported as done in time")
                .isLessThan(jobs / 100);
        assertThat(cluster.users().stream()
                        .filter(user -> user.timeToFirstStart() != null)
                        .count())
                .as("jobs that started")
                .isGreaterThan(jobs * 3 / 4);
    }

    /**
     * Users query all controllers and repeat the submission within milliseconds after a job was accepted, done or
     * cancelled; some cancel the job immediately. A controller must confirm a state that is not final with the state
     * store before it reports the state, and must read a job that it does not know from the state store.
     */
    @Property(tries = 4, seed = "222")
    void queriesWithinMillisecondsAfterEachStateChange(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.onAcceptedOrFinished(user -> {
            cluster.queryInBursts(user, cluster.random);
            if (!user.isFinished() && user.request.tasks() == 2) {
                user.cancel();
            }
        });
        for (int i = 1; i <= 45; i++) {
            int number = i;
            cluster.after(
                    Duration.ofMillis(400L * i),
                    () -> cluster.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            SimulatedCluster.PRIORITIES.get(number % 4),
                            1 + number % 3,
                            2,
                            seconds(1 + number % 5)));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /** Users cancel, query or resubmit a job at about the time at which its last task completes. */
    @Property(tries = 6, seed = "122")
    void requestsRaceWithTheLastCompletion(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.onAllTasksCompleted(user -> {
            cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::queryAllControllers);
            cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::resubmit);
            if (user.request.id().hashCode() % 2 == 0) {
                cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::cancel);
            } else {
                cluster.after(Duration.ZERO, user::cancel);
            }
            for (int i = 0; i < 3; i++) {
                cluster.after(
                        Duration.ofMillis(cluster.random.nextInt(12_000)),
                        () -> user.cancelOnce(
                                cluster.address(cluster.nodes().get(cluster.random.nextInt(3))), () -> {}));
                cluster.after(Duration.ofMillis(cluster.random.nextInt(12_000)), user::queryAllControllers);
                cluster.after(Duration.ofMillis(cluster.random.nextInt(12_000)), user::resubmit);
            }
        });
        for (int i = 1; i <= 30; i++) {
            cluster.submit(
                    i,
                    i % 3 == 0 ? "red" : "blue",
                    SimulatedCluster.PRIORITIES.get(i % 4),
                    1 + i % 3,
                    4,
                    seconds(2 + i % 7 * 1.3));
        }
        for (int i = 0; i < 6; i++) {
            int number = 100 + 2 * i;
            cluster.after(Duration.ofSeconds(i), () -> cluster.submitInvalid(number));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }
}
