package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.StatusQueryScenarios.assertHeartbeatsAnsweredAtOnce;
import static org.gullway.StatusQueryScenarios.assertQueriesAnsweredInTime;
import static org.gullway.StatusQueryScenarios.assertWithinRateLimit;
import static org.gullway.StatusQueryScenarios.clusterWithJobs;
import static org.gullway.StatusQueryScenarios.countResponses;
import static org.gullway.StatusQueryScenarios.maxDuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.gullway.ResponseLog.Kind;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Users send 10 or 50 times the usual number of status queries. Responses stay correct, queries use no more than their
 * fraction of the state store's rate limit, and they delay neither submissions nor cancellations nor heartbeats. A
 * query that cannot be answered in time is rejected as soon as that is known.
 */
class StatusQueryLoadTest {
    /** The condition of the state store during the load. */
    private enum StoreCondition {
        NORMAL {
            @Override
            void apply(SimulatedCluster cluster) {}
        },
        SLOW {
            @Override
            void apply(SimulatedCluster cluster) {
                cluster.store.addLatency(600, cluster.random.split());
            }
        },
        REJECTS_ONE_CONTROLLER {
            @Override
            void apply(SimulatedCluster cluster) {
                cluster.store.rejectFrom("perch-1", true);
            }
        },
        DOWN {
            @Override
            void apply(SimulatedCluster cluster) {
                cluster.store.setDown(true);
            }
        };

        abstract void apply(SimulatedCluster cluster);
    }

    private static final Duration LOAD_SPAN = Duration.ofSeconds(30);

    /** Submits a job each second during the load, and cancels some of them. */
    private static List<TestUser> submitDuringLoad(SimulatedCluster cluster, int first, int jobs) {
        List<TestUser> users = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            cluster.after(Duration.ofMillis(1000L * i + 137), () -> {
                TestUser user = cluster.submit(
                        number, number % 2 == 0 ? "red" : "blue", Priority.NORMAL, 2, 2, Duration.ofSeconds(6));
                users.add(user);
                if (number % 5 == 0) {
                    cluster.after(Duration.ofSeconds(3), user::cancel);
                }
            });
        }
        return users;
    }

    static Stream<Arguments> loads() {
        return Stream.of(10, 50).flatMap(queryRateFactor -> Stream.of(StoreCondition.values())
                .map(condition -> Arguments.of(queryRateFactor, condition)));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void queriesStayCorrectAndWithinTheirRateLimit(int queryRateFactor, StoreCondition condition) {
        SimulatedCluster baseline = runUnderLoad(1, condition);
        SimulatedCluster cluster = runUnderLoad(queryRateFactor, condition);
        Duration baselineMaxTime = maxDuration(baseline.users().stream().map(TestUser::timeToAcceptance));
        Duration maxTime = maxDuration(cluster.users().stream().map(TestUser::timeToAcceptance));
        // A user whose submission was part of a failed commit retries after 1 s, possibly twice.
        assertThat(maxTime).isLessThanOrEqualTo(baselineMaxTime.plusMillis(2200));
        if (condition == StoreCondition.NORMAL) {
            assertThat(maxTime).isLessThanOrEqualTo(baselineMaxTime.plusMillis(150));
            assertThat(countResponses(cluster, Kind.QUERY, 503)).isZero();
        }
        if (condition == StoreCondition.SLOW) {
            // Each request to the state store has a random delay, so only means can be compared.
            assertThat(meanTimeToAcceptance(cluster))
                    .isLessThanOrEqualTo(meanTimeToAcceptance(baseline).plusMillis(150));
            assertThat(100 * countResponses(cluster, Kind.QUERY, 503))
                    .isLessThan(countResponses(cluster, Kind.QUERY, 200));
        }
        assertThat(countResponses(cluster, Kind.QUERY, 200))
                .as("answered queries, compared with the usual load")
                .isGreaterThan(queryRateFactor / 2 * countResponses(baseline, Kind.QUERY, 200));
    }

    private static Duration meanTimeToAcceptance(SimulatedCluster cluster) {
        List<Duration> all =
                cluster.users().stream().map(TestUser::timeToAcceptance).toList();
        return all.stream().reduce(Duration.ZERO, Duration::plus).dividedBy(all.size());
    }

    /** Runs a scenario with the given factor of the usual query rate, and checks what holds for every query rate. */
    private static SimulatedCluster runUnderLoad(int queryRateFactor, StoreCondition condition) {
        SimulatedCluster cluster = clusterWithJobs(7, 12, Duration.ofSeconds(40));
        cluster.responses.clear();
        cluster.storeRequests.clear();
        cluster.setQueryRateFactor(queryRateFactor);
        submitDuringLoad(cluster, 100, 30);
        condition.apply(cluster);
        cluster.run(LOAD_SPAN);
        assertQueriesAnsweredInTime(cluster);
        assertHeartbeatsAnsweredAtOnce(cluster);
        assertWithinRateLimit(cluster, LOAD_SPAN);
        cluster.endFaults();
        cluster.run(Duration.ofMinutes(2));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        return cluster;
    }

    /**
     * Users query all controllers every 20 ms around the completion or cancellation of their jobs, while the state
     * store is slow. A query must not use a version check that was sent before the query arrived. Otherwise, some users
     * would get an older state than another controller has already reported.
     */
    @Test
    void queryBurstsAreNeverAnsweredWithAnOutdatedState() {
        SimulatedCluster cluster = new SimulatedCluster(17, 0, 3);
        cluster.store.addLatency(500, cluster.random.split());
        for (int i = 1; i <= 24; i++) {
            int number = i;
            TestUser user = cluster.submit(
                    i,
                    i % 3 == 0 ? "red" : "blue",
                    SimulatedCluster.PRIORITIES.get(i % 4),
                    1,
                    2,
                    Duration.ofMillis(4000 + 500L * i));
            if (i % 2 == 0) {
                cluster.after(Duration.ofSeconds(10 + i), user::cancel);
            }
            for (int j = 0; j < 1200; j++) {
                cluster.after(Duration.ofMillis(9000 + 20L * j + number), user::queryAllControllers);
            }
        }
        cluster.run(Duration.ofSeconds(60));
        cluster.endFaults();
        cluster.run(Duration.ofMinutes(2));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }
}
