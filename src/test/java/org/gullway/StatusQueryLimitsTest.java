package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.StatusQueryScenarios.MAX_QUERY_TIME;
import static org.gullway.StatusQueryScenarios.QUERY_READ_FRACTION;
import static org.gullway.StatusQueryScenarios.REQUESTS_PER_CONTROLLER;
import static org.gullway.StatusQueryScenarios.assertQueriesAnsweredInTime;
import static org.gullway.StatusQueryScenarios.assertWithinRateLimit;
import static org.gullway.StatusQueryScenarios.clusterWithJobs;
import static org.gullway.StatusQueryScenarios.countResponses;
import static org.gullway.StatusQueryScenarios.maxDuration;
import static org.gullway.StatusQueryScenarios.maxResponseTime;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.gullway.ResponseLog.Kind;
import org.gullway.protocol.Cbor;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/** Each test covers one limit that bounds the cost of status queries or keeps them from delaying other requests. */
class StatusQueryLimitsTest {
    private static void query(SimulatedCluster cluster, String node, String id) {
        send(cluster, node, HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)), response -> {});
    }

    private static void send(
            SimulatedCluster cluster, String node, HttpRequest request, Consumer<HttpResponse> callback) {
        HttpClient client = cluster.network.client("users", cluster.time.newProcess());
        client.call(cluster.address(node), request, callback);
    }

    private static SimulatedCluster clusterWithClearedLogs(int jobs) {
        SimulatedCluster cluster = clusterWithJobs(11, jobs, Duration.ofSeconds(200));
        cluster.run(Duration.ofMillis(500));
        cluster.responses.clear();
        cluster.storeRequests.clear();
        return cluster;
    }

    /**
     * Concurrent queries about one job must share a version check of the state store. Otherwise, the estimated waiting
     * time of the queue would be too long, and many queries would be rejected.
     */
    @Test
    void concurrentQueriesOfOneJobShareAVersionCheck() {
        SimulatedCluster cluster = clusterWithClearedLogs(1);
        for (int i = 0; i < 1000; i++) {
            query(cluster, "perch-0", "run-000001");
        }
        cluster.run(Duration.ofMillis(1500));
        assertThat(countResponses(cluster, Kind.QUERY, 200)).isGreaterThanOrEqualTo(1000);
        assertThat(countResponses(cluster, Kind.QUERY, 503)).isZero();
        assertThat(cluster.storeRequests.versionChecks("perch-0")).isLessThanOrEqualTo(3);
    }

    /**
     * A query whose estimated waiting time is too long must be rejected on arrival. Without the estimate, it would wait
     * for more than a second and then be rejected.
     */
    @Test
    void queriesThatCannotBeAnsweredInTimeAreRejectedAtOnce() {
        SimulatedCluster cluster = clusterWithClearedLogs(1);
        for (int i = 0; i < 5000; i++) {
            query(cluster, "perch-0", "run-" + (500_000 + i));
        }
        cluster.run(Duration.ofSeconds(2));
        assertThat(countResponses(cluster, Kind.QUERY, 404)).isGreaterThan(150);
        assertThat(maxResponseTime(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
        Duration rejectionTime = maxDuration(cluster.responses.of(Kind.QUERY).stream()
                .filter(entry -> entry.status() == 503)
                .map(entry -> entry.elapsed(cluster.time.now())));
        assertThat(countResponses(cluster, Kind.QUERY, 503)).isGreaterThan(3000);
        assertThat(rejectionTime).isLessThan(Duration.ofMillis(50));
        assertThat(cluster.storeRequests.jobReads("perch-0"))
                .as("reads of single jobs")
                .isZero();
        assertWithinRateLimit(cluster, Duration.ofSeconds(2));
    }

    /**
     * A query has a time limit of its own. Otherwise, it would wait for the 3 s timeout of a request to the state
     * store.
     */
    @Test
    void queriesAreRejectedInTimeIfTheStoreIsUnreachable() {
        SimulatedCluster cluster = clusterWithClearedLogs(1);
        cluster.network.cut("perch-0", SimulatedCluster.storeAddress());
        for (int i = 0; i < 20; i++) {
            cluster.after(Duration.ofMillis(150L * i), () -> query(cluster, "perch-0", "run-000001"));
        }
        cluster.run(Duration.ofSeconds(5));
        assertThat(countResponses(cluster, Kind.QUERY, 503)).isGreaterThanOrEqualTo(20);
        assertThat(maxResponseTime(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
    }

    /**
     * A rejection by the state store must not be treated as a short overload. Otherwise, the query would be retried for
     * 1.2 s before it is rejected.
     */
    @Test
    void queriesAreRejectedAtOnceIfTheStoreRejectsRequests() {
        SimulatedCluster cluster = clusterWithClearedLogs(1);
        cluster.store.setDown(true);
        query(cluster, "perch-0", "run-000001");
        cluster.run(Duration.ofSeconds(2));
        assertThat(countResponses(cluster, Kind.QUERY, 503)).isPositive();
        assertThat(maxResponseTime(cluster, Kind.QUERY)).isLessThan(Duration.ofMillis(200));
    }

    /**
     * After a restart, controllers read the final states of finished jobs from the state store. Queries and
     * cancellations have separate rate limits for these reads. Without the rate limit of queries, all reads would be
     * sent at once. With a common limit, the cancellation of a finished job would wait behind the queries.
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
        cluster.run(Duration.ofSeconds(1));
        double readsPerSecond = QUERY_READ_FRACTION * REQUESTS_PER_CONTROLLER;
        assertThat((double) cluster.storeRequests.jobReads("perch-0"))
                .isBetween(readsPerSecond, 2 * readsPerSecond + 1);
        List<String> unconfirmedRequests = new ArrayList<>();
        cluster.users().get(39).cancelOnce(cluster.address("perch-0"), () -> unconfirmedRequests.add("cancellation"));
        cluster.run(Duration.ofSeconds(14));
        assertThat(unconfirmedRequests).isEmpty();
        assertThat(maxResponseTime(cluster, Kind.CANCELLATION))
                .as("response time of a cancellation, which has its own rate limit")
                .isLessThan(Duration.ofMillis(100));
        assertWithinRateLimit(cluster, Duration.ofSeconds(15));
        assertThat(cluster.storeRequests.jobReads("perch-0"))
                .as("job reads, each job once")
                .isLessThanOrEqualTo(42);
        assertThat(countResponses(cluster, Kind.QUERY, 200)).isGreaterThan(2000);
        assertQueriesAnsweredInTime(cluster);
        assertThat(cluster.violations).isEmpty();
    }

    /**
     * Submissions and cancellations have a separate queue. Otherwise, they would wait behind queries or be rejected
     * with them.
     */
    @Test
    void submissionsAndCancellationsDoNotWaitBehindQueries() {
        SimulatedCluster cluster = clusterWithClearedLogs(2);
        for (int i = 0; i < 3000; i++) {
            query(cluster, "perch-0", "run-" + (500_000 + i));
        }
        cluster.run(Duration.ofMillis(20));
        List<Integer> statuses = new ArrayList<>();
        TestUser userOfKnownJob = cluster.users().get(0);
        byte[] resubmission = Cbor.encode(userOfKnownJob.request.toNode());
        byte[] infeasible = Cbor.encode(
                userOfKnownJob.request.toNode().put("name_id", "run-700000").put("cpus", 1000));
        for (byte[] body : List.of(resubmission, infeasible)) {
            send(
                    cluster,
                    "perch-0",
                    HttpRequest.post("/v2/runs", body, Duration.ofSeconds(5)),
                    response -> statuses.add(response.status()));
        }
        // A cancellation that is not confirmed would add the status 0.
        cluster.users().get(1).cancelOnce(cluster.address("perch-0"), () -> statuses.add(0));
        cluster.run(Duration.ofMillis(600));
        assertThat(statuses).containsExactlyInAnyOrder(200, 422);
        assertThat(cluster.invariants.reportedState("run-000002")).isEqualTo("aborted");
        assertThat(maxResponseTime(cluster, Kind.SUBMISSION)).isLessThan(Duration.ofMillis(400));
        assertThat(maxResponseTime(cluster, Kind.CANCELLATION)).isLessThan(Duration.ofMillis(400));
    }
}
