package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.StatusQueryScenarios.MAX_QUERY_TIME;
import static org.gullway.StatusQueryScenarios.QUERY_READ_FRACTION;
import static org.gullway.StatusQueryScenarios.REQUESTS_PER_CONTROLLER;
import static org.gullway.StatusQueryScenarios.assertQueriesAnsweredInTime;
import static org.gullway.StatusQueryScenarios.assertWithinRateLimit;
import static org.gullway.StatusQueryScenarios.clusterWithJobs;
import static org.gullway.StatusQueryScenarios.count;
import static org.gullway.StatusQueryScenarios.longest;

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

/** The limits that keep status queries cheap and other requests fast, one mechanism in each test. */
class StatusQueryLimitsTest {
    private static void query(SimulatedCluster cluster, String node, String id) {
        send(cluster, node, HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)), response -> {});
    }

    private static void send(
            SimulatedCluster cluster, String node, HttpRequest request, Consumer<HttpResponse> callback) {
        HttpClient client = cluster.network.client("users", cluster.time.newProcess());
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
        cluster.run(Duration.ofSeconds(1));
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
}
