package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Rank;
import org.gullway.transport.Client;
import org.gullway.transport.HttpRequest;

/**
 * Health checks while the state service is in trouble. The load balancer removes a node after two failures in a row and
 * takes it back after a pause that doubles with each removal. When outages came one after the other, users found no
 * healthy node in the first seconds after each, and a sixth of them gave up (hunted day hunt-c4d1-5).
 */
class SharedOutageTest {
    private static final Duration CHECK_EVERY = Duration.ofSeconds(1);
    private static final Duration CHECK_LIMIT = Duration.ofSeconds(1);
    /** So many failures in a row remove a node. */
    private static final int REMOVED_AFTER = 2;

    /** Asks every node of a world as the load balancer does, and counts failures in a row. */
    private static final class HealthChecks {
        private final SimulatedWorld world;
        private final Client balancer;
        private final Map<String, Integer> failuresInARow = new HashMap<>();
        private final Map<String, Integer> mostFailuresInARow = new HashMap<>();

        HealthChecks(SimulatedWorld world) {
            this.world = world;
            SimulatedTime.Process process = world.time.process();
            this.balancer = world.network.client("balancer", process);
            process.every(CHECK_EVERY, () -> world.nodes().forEach(this::check));
        }

        private void check(String node) {
            balancer.call(world.address(node), HttpRequest.get("/up", CHECK_LIMIT), reply -> {
                int failures = reply.ok() ? 0 : failuresInARow.getOrDefault(node, 0) + 1;
                failuresInARow.put(node, failures);
                mostFailuresInARow.merge(node, failures, Math::max);
            });
        }

        int mostFailuresInARow(String node) {
            return mostFailuresInARow.get(node);
        }
    }

    private static SimulatedWorld busy(int seed) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        for (int i = 1; i <= 4; i++) {
            world.submit(i, i % 2 == 0 ? "red" : "blue", Rank.HIGH, 2, 4, Duration.ofSeconds(30));
        }
        world.run(Duration.ofSeconds(15));
        return world;
    }

    /** Without the state service nobody serves users better, so no node may lose its place for the time afterwards. */
    @Property(tries = 6, seed = "41")
    void allStayHealthyInOutagesOfTheStateService(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = busy(seed);
        HealthChecks checks = new HealthChecks(world);
        for (int i = 0; i < 4; i++) {
            world.store.setDown(true);
            world.run(Duration.ofSeconds(52));
            world.store.setDown(false);
            world.run(Duration.ofSeconds(16));
        }
        assertThat(world.nodes()).allMatch(node -> checks.mostFailuresInARow(node) < REMOVED_AFTER);
        world.calm();
        world.run(Duration.ofSeconds(200));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }

    /** A node that alone is refused must go on failing its checks: the others can serve its users. */
    @Property(tries = 6, seed = "42")
    void aNodeThatAloneIsWithoutStateBecomesUnhealthy(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedWorld world = busy(seed);
        HealthChecks checks = new HealthChecks(world);
        String alone = world.nodes().get(seed % 3);
        world.network.cut(alone, SimulatedWorld.stateAddress());
        world.run(Duration.ofSeconds(40));
        assertThat(checks.mostFailuresInARow(alone)).isGreaterThan(25);
        world.nodes().stream()
                .filter(node -> !node.equals(alone))
                .forEach(node -> assertThat(checks.mostFailuresInARow(node)).isLessThan(REMOVED_AFTER));
        world.network.heal(alone, SimulatedWorld.stateAddress());
        world.calm();
        world.run(Duration.ofSeconds(120));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }
}
