package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.stream.Stream;
import org.gullway.ResponseLog.Kind;

/**
 * A cluster with a rate-limited state store, and checks of response times and of requests to the state store, shared by
 * the tests of status queries.
 */
final class StatusQueryScenarios {
    /** Number of requests per second that each of the three controllers may send to the state store. */
    static final double REQUESTS_PER_CONTROLLER = StoreRequestMeter.REQUESTS_PER_SECOND / 3.0;

    private static final double VERSION_CHECK_FRACTION = 0.075;
    static final double QUERY_READ_FRACTION = 0.12;
    private static final double REQUEST_READ_FRACTION = 0.06;
    /** Longest allowed response time of a query, below the 2 s after which a user's query times out. */
    static final Duration MAX_QUERY_TIME = Duration.ofMillis(1300);

    private StatusQueryScenarios() {}

    static SimulatedCluster clusterWithJobs(int seed, int jobs, Duration runTime) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.storeRequests.enforceRateLimit();
        for (int i = 1; i <= jobs; i++) {
            cluster.submit(
                    i, i % 3 == 0 ? "red" : "blue", SimulatedCluster.PRIORITIES.get(i % 4), 1 + i % 2, 2, runTime);
        }
        cluster.run(Duration.ofSeconds(25));
        return cluster;
    }

    static Duration maxDuration(Stream<Duration> durations) {
        return durations.max(Comparator.naturalOrder()).orElse(Duration.ZERO);
    }

    static Duration maxResponseTime(SimulatedCluster cluster, Kind kind) {
        Instant now = cluster.time.now();
        return maxDuration(cluster.responses.of(kind).stream().map(entry -> entry.elapsed(now)));
    }

    static long countResponses(SimulatedCluster cluster, Kind kind, int status) {
        return cluster.responses.of(kind).stream()
                .filter(entry -> entry.status() == status)
                .count();
    }

    /**
     * Checks that the version checks and job reads of each controller stay within their fractions of its rate limit,
     * plus the burst of one second and a few requests.
     */
    static void assertWithinRateLimit(SimulatedCluster cluster, Duration duration) {
        double seconds = duration.toMillis() / 1000.0;
        double versionChecks = VERSION_CHECK_FRACTION * REQUESTS_PER_CONTROLLER;
        double jobReads = (QUERY_READ_FRACTION + REQUEST_READ_FRACTION) * REQUESTS_PER_CONTROLLER;
        for (String node : cluster.nodes()) {
            assertThat((double) cluster.storeRequests.versionChecks(node))
                    .as("version checks of %s", node)
                    .isLessThanOrEqualTo(versionChecks * (seconds + 1) + 1);
            assertThat((double) cluster.storeRequests.jobReads(node))
                    .as("job reads of %s", node)
                    .isLessThanOrEqualTo(jobReads * (seconds + 1) + 4);
        }
    }

    /** Checks that all queries were answered in time, and that exactly the rejected ones have a Retry-After header. */
    static void assertQueriesAnsweredInTime(SimulatedCluster cluster) {
        assertThat(maxResponseTime(cluster, Kind.QUERY)).isLessThan(MAX_QUERY_TIME);
        // Queries that are still in flight have status 0. The assertion above covers their time so far.
        assertThat(cluster.responses.of(Kind.QUERY).stream().map(ResponseLog.Entry::status))
                .isSubsetOf(0, 200, 503);
        assertThat(cluster.responses.of(Kind.QUERY).stream()
                        .filter(entry -> entry.hasRetryDelayOfAtLeastOneSecond() != (entry.status() == 503)))
                .isEmpty();
    }

    static void assertHeartbeatsAnsweredAtOnce(SimulatedCluster cluster) {
        assertThat(cluster.responses.of(Kind.HEARTBEAT)).isNotEmpty();
        assertThat(maxResponseTime(cluster, Kind.HEARTBEAT)).isLessThan(Duration.ofMillis(50));
    }
}
