package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpRequest;

/**
 * Health checks during faults of the state store. The load balancer removes a controller after two consecutive failures
 * and adds it again after a back-off that doubles with each removal. Repeated outages of the state store must therefore
 * not make all controllers unhealthy.
 */
class StoreOutageDetectorTest {
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(1);
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);
    /** Number of consecutive failures after which the load balancer removes a controller. */
    private static final int FAILURES_UNTIL_REMOVAL = 2;

    /** Sends the health checks of the load balancer to every controller, and counts consecutive failures. */
    private static final class HealthChecks {
        private final SimulatedCluster cluster;
        private final HttpClient balancer;
        private final Map<String, Integer> consecutiveFailures = new HashMap<>();
        private final Map<String, Integer> maxConsecutiveFailures = new HashMap<>();

        HealthChecks(SimulatedCluster cluster) {
            this.cluster = cluster;
            SimulatedTime.SimulatedProcess process = cluster.time.newProcess();
            this.balancer = cluster.network.client("balancer", process);
            process.every(CHECK_INTERVAL, () -> cluster.nodes().forEach(this::check));
        }

        private void check(String node) {
            balancer.call(cluster.address(node), HttpRequest.get("/up", CHECK_TIMEOUT), response -> {
                int failures = response.isOk() ? 0 : consecutiveFailures.getOrDefault(node, 0) + 1;
                consecutiveFailures.put(node, failures);
                maxConsecutiveFailures.merge(node, failures, Math::max);
            });
        }

        int maxConsecutiveFailures(String node) {
            return maxConsecutiveFailures.get(node);
        }
    }

    private static SimulatedCluster clusterWithJobs(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 4; i++) {
            cluster.submit(i, i % 2 == 0 ? "red" : "blue", Priority.HIGH, 2, 4, Duration.ofSeconds(30));
        }
        cluster.run(Duration.ofSeconds(15));
        return cluster;
    }

    /** Without the state store, no controller can serve users better than another, so none may be removed. */
    @Property(tries = 6, seed = "41")
    void allControllersStayHealthyInStoreOutages(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        HealthChecks healthChecks = new HealthChecks(cluster);
        for (int i = 0; i < 4; i++) {
            cluster.store.setDown(true);
            cluster.run(Duration.ofSeconds(52));
            cluster.store.setDown(false);
            cluster.run(Duration.ofSeconds(16));
        }
        assertThat(cluster.nodes())
                .allMatch(node -> healthChecks.maxConsecutiveFailures(node) < FAILURES_UNTIL_REMOVAL);
        cluster.endFaults();
        cluster.run(Duration.ofSeconds(200));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * A controller that cannot reach the state store while the others can must continue to fail its health checks, so
     * that the others serve its users.
     */
    @Property(tries = 6, seed = "42")
    void onlyAControllerPartitionedFromTheStoreBecomesUnhealthy(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        HealthChecks healthChecks = new HealthChecks(cluster);
        String isolated = cluster.nodes().get(seed % 3);
        cluster.network.cut(isolated, SimulatedCluster.storeAddress());
        cluster.run(Duration.ofSeconds(40));
        assertThat(healthChecks.maxConsecutiveFailures(isolated)).isGreaterThan(25);
        cluster.nodes().stream().filter(node -> !node.equals(isolated)).forEach(node -> assertThat(
                        healthChecks.maxConsecutiveFailures(node))
                .isLessThan(FAILURES_UNTIL_REMOVAL));
        cluster.network.heal(isolated, SimulatedCluster.storeAddress());
        cluster.endFaults();
        cluster.run(Duration.ofMinutes(2));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }
}
