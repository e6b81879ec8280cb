package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.gullway.ResponseLog.Kind;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Users query many times as often: responses stay correct, cost the state store no more than their fraction of its
 * rate limit, and delay neither submissions nor cancellations nor heartbeats; a query that cannot be answered in time
 * is rejected as soon as that is known.
 */
class StatusQueryLoadTest {
    /** The requests per second that each of three controllers may send to the state store. */
    private static final double REQUESTS_PER_CONTROLLER = StoreRequestLog.PER_SECOND / 3.0;

    private static final double VERSION_CHECK_FRACTION = 0.075;
    private static final double QUERY_READ_FRACTION = 0.12;
    private static final double REQUEST_READ_FRACTION = 0.06;
    /** Below the 2 s after which a user's query times out. */
    private static final Duration MAX_QUERY_TIME = Duration.ofMillis(1300);

    /** The condition of the state store during the load. */
    private enum StoreCondition {
        NORMAL {
            @Override
            void begin(SimulatedCluster cluster) {}
        },
        SLOW {
            @Override
            void begin(SimulatedCluster cluster) {
                cluster.store.addLatency(600, cluster.random.split());
            }
        },
        REJECTS_ONE {
            @Override
            void begin(SimulatedCluster cluster) {
                cluster.store.rejectFrom("perch-1", true);
            }
        },
        DOWN {
            @Override
            void begin(SimulatedCluster cluster) {
                cluster.store.setDown(true);
            }
        };

        abstract void begin(SimulatedCluster cluster);
    }

    private static final Duration LOAD_SPAN = Duration.ofSeconds(30);

    private static SimulatedCluster clusterWithJobs(int seed, int jobs, Duration runTime) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.storeRequests.limit();
        for (int i = 1; i <= jobs; i++) {
            cluster.submit(i, i % 3 == 0 ? "red" : "blue", Priority.values()[i % 4], 1 + i % 2, 2, runTime);
        }
        cluster.run(Duration.ofSeconds(25));
        return cluster;
    }

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

    private static Duration longest(Stream<Duration> durations) {
        return durations.max(Comparator.naturalOrder()).orElse(Duration.ZERO);
    }

    private static Duration longest(SimulatedCluster cluster, Kind kind) {
        Instant loadedMax = cluster.time.now();
        return longest(cluster.responses.of(kind).stream().map(entry -> entry.elapsed(loadedMax)));
    }

    private static long count(SimulatedCluster cluster, Kind kind, int status) {
        return cluster.responses.of(kind).stream()
                .filter(entry -> entry.status() == status)
                .count();
    }

    /** Each controller has kept to the fraction of its requests to the store that queries have. */
    private static void assertWithinRateLimit(SimulatedCluster cluster, Duration span) {
        double seconds = span.toMillis() / 1000.0;
        double versionChecks = VERSION_CHECK_FRACTION * REQUESTS_PER_CONTROLLER;
        double reads = (QUERY_READ_FRACTION + REQUEST_READ_FRACTION) * REQUESTS_PER_CONTROLLER;
        for (String node : cluster.nodes()) {
            assertThat((double) cluster.storeRequests.versionChecks(node))
                    .as("version checks of %s", node)
                    .isLessThanOrEqualTo(versionChecks * (seconds + 1) + 1);
            assertThat((double) cluster.storeRequests.jobReads(node))
                    .as("job reads of %s", node)
                    .isLessThanOrEqualTo(reads * (seconds + 1) + 4);
        }
    }

    /** All queries were answered in time, and those that were rejected say when to retry. */
    private static void assertQueriesAnsweredInTime(SimulatedCluster cluster) {
        assertThat(longest(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
        // A query that arrived last has no response yet, which is status 0; the time above holds for it as well.
        assertThat(cluster.responses.of(Kind.QUERY).stream().map(ResponseLog.Entry::status))
                .isSubsetOf(0, 200, 503);
        assertThat(cluster.responses.of(Kind.QUERY).stream()
                        .filter(entry -> entry.hasRetryAfter() != (entry.status() == 503)))
                .isEmpty();
    }

    private static void assertHeartbeatsAnsweredAtOnce(SimulatedCluster cluster) {
        assertThat(cluster.responses.of(Kind.HEARTBEAT)).isNotEmpty();
        assertThat(longest(cluster, Kind.HEARTBEAT)).isLessThan(Duration.ofMillis(50));
    }

    static Stream<Arguments> loads() {
        return Stream.of(10, 50)
                .flatMap(times -> Stream.of(StoreCondition.values()).map(state -> Arguments.of(times, state)));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void queriesStayCorrectAndCheap(int times, StoreCondition state) {
        SimulatedCluster baseline = playLoad(1, state);
        SimulatedCluster cluster = playLoad(times, state);
        Duration baselineMax = longest(baseline.users().stream().map(TestUser::timeToAcceptance));
        Duration loadedMax = longest(cluster.users().stream().map(TestUser::timeToAcceptance));
        // A user whose submission is part of a failed commit submits again a second later, and perhaps once more.
        assertThat(loadedMax).isLessThanOrEqualTo(baselineMax.plusMillis(2200));
        if (state == StoreCondition.NORMAL) {
            assertThat(loadedMax).isLessThanOrEqualTo(baselineMax.plusMillis(150));
            assertThat(count(cluster, Kind.QUERY, 503)).isZero();
        }
        if (state == StoreCondition.SLOW) {
            // Each request to the store has a random delay, so that only means can be compared.
            assertThat(mean(cluster)).isLessThanOrEqualTo(mean(baseline).plusMillis(150));
            assertThat(100 * count(cluster, Kind.QUERY, 503)).isLessThan(count(cluster, Kind.QUERY, 200));
        }
        assertThat(count(cluster, Kind.QUERY, 200))
                .as("answers compared with the usual load")
                .isGreaterThan(times / 2 * count(baseline, Kind.QUERY, 200));
    }

    private static Duration mean(SimulatedCluster cluster) {
        List<Duration> all =
                cluster.users().stream().map(TestUser::timeToAcceptance).toList();
        return all.stream().reduce(Duration.ZERO, Duration::plus).dividedBy(all.size());
    }

    /** Plays a scenario with this many times as many queries, and checks what holds for every such load. */
    private static SimulatedCluster playLoad(int times, StoreCondition state) {
        SimulatedCluster cluster = clusterWithJobs(7, 12, Duration.ofSeconds(40));
        cluster.responses.clear();
        cluster.storeRequests.clear();
        cluster.multiplyQueryRate(times);
        submitDuringLoad(cluster, 100, 30);
        state.begin(cluster);
        cluster.run(LOAD_SPAN);
        assertQueriesAnsweredInTime(cluster);
        assertHeartbeatsAnsweredAtOnce(cluster);
        assertWithinRateLimit(cluster, LOAD_SPAN);
        cluster.endFaults();
        cluster.run(Duration.ofSeconds(120));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        return cluster;
    }

    // One mechanism each

    private static void query(SimulatedCluster cluster, String node, String id) {
        send(cluster, node, HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)), response -> {});
    }

    private static void send(
            SimulatedCluster cluster, String node, HttpRequest request, Consumer<HttpResponse> callback) {
        HttpClient client = cluster.network.client("users", cluster.time.process());
        client.call(cluster.address(node), request, callback);
    }

    private static SimulatedCluster idleCluster(int jobs) {
        SimulatedCluster cluster = clusterWithJobs(11, jobs, Duration.ofSeconds(200));
        cluster.run(Duration.ofMillis(500));
        cluster.responses.clear();
        cluster.storeRequests.clear();
        return cluster;
    }

    /**
     * Guards that queries about one job share a confirmation: otherwise the queue would seem too long, and many would
     * be rejected.
     */
    @Test
    void aThousandQueriesOfOneJobCostOneConfirmation() {
        SimulatedCluster cluster = idleCluster(1);
        for (int i = 0; i < 1000; i++) {
            query(cluster, "perch-0", "run-000001");
        }
        cluster.run(Duration.ofMillis(1500));
        assertThat(count(cluster, Kind.QUERY, 200)).isGreaterThanOrEqualTo(1000);
        assertThat(count(cluster, Kind.QUERY, 503)).isZero();
        assertThat(cluster.storeRequests.versionChecks("perch-0")).isLessThanOrEqualTo(3);
    }

    /**
     * Guards the estimate of the waiting time: otherwise queries would wait for more than a second and then be
     * rejected.
     */
    @Test
    void queriesThatCannotBeConfirmedInTimeAreRejectedAtOnce() {
        SimulatedCluster cluster = idleCluster(1);
        for (int i = 0; i < 5000; i++) {
            query(cluster, "perch-0", "run-" + (500_000 + i));
        }
        cluster.run(Duration.ofSeconds(2));
        assertThat(count(cluster, Kind.QUERY, 404)).isGreaterThan(150);
        assertThat(longest(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
        Duration rejectionTime = longest(cluster.responses.of(Kind.QUERY).stream()
                .filter(entry -> entry.status() == 503)
                .map(entry -> entry.elapsed(cluster.time.now())));
        assertThat(count(cluster, Kind.QUERY, 503)).isGreaterThan(3000);
        assertThat(rejectionTime).isLessThan(Duration.ofMillis(50));
        assertThat(cluster.storeRequests.jobReads("perch-0"))
                .as("no job is read one by one")
                .isZero();
        assertWithinRateLimit(cluster, Duration.ofSeconds(2));
    }

    /**
     * Guards the time limit of a query: otherwise it would wait for the 3 s timeout of a request to the state store.
     */
    @Test
    void queriesAreRejectedInTimeWhenTheStoreDoesNotAnswer() {
        SimulatedCluster cluster = idleCluster(1);
        cluster.network.cut("perch-0", SimulatedCluster.storeAddress());
        for (int i = 0; i < 20; i++) {
            cluster.after(Duration.ofMillis(150L * i), () -> query(cluster, "perch-0", "run-000001"));
        }
        cluster.run(Duration.ofSeconds(5));
        assertThat(count(cluster, Kind.QUERY, 503)).isGreaterThanOrEqualTo(20);
        assertThat(longest(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
    }

    /**
     * Guards that a rejection by the state store is not taken for a short overload, after which it would be retried
     * for 1.2 s.
     */
    @Test
    void queriesAreRejectedAsSoonAsTheStoreRejects() {
        SimulatedCluster cluster = idleCluster(1);
        cluster.store.setDown(true);
        query(cluster, "perch-0", "run-000001");
        cluster.run(Duration.ofSeconds(2));
        assertThat(count(cluster, Kind.QUERY, 503)).isPositive();
        assertThat(longest(cluster, Kind.QUERY)).isLessThan(Duration.ofMillis(200));
    }

    /**
     * Guards the rate limit of reads, without which all of them would be sent at once, and the separate one of
     * cancellations: otherwise one of a finished job would wait behind the queries.
     */
    @Test
    void restartedControllersReadFinishedJobsWithinTheirRateLimit() {
        SimulatedCluster cluster = clusterWithJobs(13, 40, Duration.ofSeconds(3));
        cluster.run(Duration.ofSeconds(60));
        assertThat(cluster.unfinished()).isEmpty();
        cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofMillis(100)));
        cluster.run(Duration.ofSeconds(10));
        cluster.responses.clear();
        cluster.storeRequests.clear();
        for (int i = 0; i < 150; i++) {
            cluster.after(Duration.ofMillis(100L * i), () -> cluster.users()
                    .forEach(user -> query(cluster, "perch-0", user.request.id())));
        }
        cluster.run(Duration.ofMillis(1000));
        double reads = QUERY_READ_FRACTION * REQUESTS_PER_CONTROLLER;
        assertThat((double) cluster.storeRequests.jobReads("perch-0")).isBetween(reads, 2 * reads + 1);
        List<String> unanswered = new ArrayList<>();
        cluster.users().get(39).cancelOnce(cluster.address("perch-0"), () -> unanswered.add("cancellation"));
        cluster.run(Duration.ofSeconds(14));
        assertThat(unanswered).isEmpty();
        assertThat(longest(cluster, Kind.CANCELLATION))
                .as("it has a rate limit of its own")
                .isLessThan(Duration.ofMillis(100));
        assertWithinRateLimit(cluster, Duration.ofSeconds(15));
        assertThat(cluster.storeRequests.jobReads("perch-0")).as("each once").isLessThanOrEqualTo(42);
        assertThat(count(cluster, Kind.QUERY, 200)).isGreaterThan(2000);
        assertQueriesAnsweredInTime(cluster);
        assertThat(cluster.violations).isEmpty();
    }

    /**
     * Guards the separate queue of submissions and cancellations: otherwise they would wait behind queries, or be
     * rejected with them.
     */
    @Test
    void submissionsAndCancellationsDoNotWaitBehindQueries() {
        SimulatedCluster cluster = idleCluster(2);
        for (int i = 0; i < 3000; i++) {
            query(cluster, "perch-0", "run-" + (500_000 + i));
        }
        cluster.run(Duration.ofMillis(20));
        List<Integer> statuses = new ArrayList<>();
        TestUser known = cluster.users().get(0);
        byte[] again = Cbor.encode(known.request.toNode());
        byte[] infeasible =
                Cbor.encode(known.request.toNode().put("name_id", "run-700000").put("cpus", 1000));
        for (byte[] body : List.of(again, infeasible)) {
            send(
                    cluster,
                    "perch-0",
                    HttpRequest.post("/v2/runs", body, Duration.ofSeconds(5)),
                    response -> statuses.add(response.status()));
        }
        cluster.users().get(1).cancelOnce(cluster.address("perch-0"), () -> statuses.add(0));
        cluster.run(Duration.ofMillis(600));
        assertThat(statuses).containsExactlyInAnyOrder(200, 422);
        assertThat(cluster.invariants.reportedState("run-000002")).isEqualTo("aborted");
        assertThat(longest(cluster, Kind.SUBMISSION)).isLessThan(Duration.ofMillis(400));
        assertThat(longest(cluster, Kind.CANCELLATION)).isLessThan(Duration.ofMillis(400));
    }

    /**
     * Users query all controllers many times within milliseconds around the ends and cancellations of their jobs,
     * while the state store is slow. Guards that a query does not join a confirmation that is under way: otherwise
     * some users would get an older state than another controller has sent before.
     */
    @Test
    void burstsOfQueriesAreNeverAnsweredWithAnOlderState() {
        SimulatedCluster cluster = new SimulatedCluster(17, 0, 3);
        cluster.store.addLatency(500, cluster.random.split());
        for (int i = 1; i <= 24; i++) {
            int number = i;
            TestUser user = cluster.submit(
                    i, i % 3 == 0 ? "red" : "blue", Priority.values()[i % 4], 1, 2, Duration.ofMillis(4000 + 500L * i));
            if (i % 2 == 0) {
                cluster.after(Duration.ofSeconds(10 + i), user::cancel);
            }
            for (int j = 0; j < 1200; j++) {
                cluster.after(Duration.ofMillis(9000 + 20L * j + number), user::queryAllControllers);
            }
        }
        cluster.run(Duration.ofSeconds(60));
        cluster.endFaults();
        cluster.run(Duration.ofSeconds(120));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }
}
