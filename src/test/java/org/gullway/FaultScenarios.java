package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/** What several scenario tests share: clusters with work, faults for a span, and the checks at the end. */
final class FaultScenarios {
    private FaultScenarios() {}

    static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** Eight running jobs of two tasks, reserved and best-effort, of both teams; red is at its quota. */
    static SimulatedCluster clusterWithRunningJobs(int seed, Duration runTime) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 8; i++) {
            cluster.submit(i, i < 4 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, runTime);
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.runningTasks())
                .as("tasks that run when the faults begin")
                .isEqualTo(16);
        return cluster;
    }

    /** A cluster with a third team, guest, that has no quota. */
    static SimulatedCluster clusterWithGuestTeam(int seed, int capacity) {
        Map<String, Settings.Team> teams = new HashMap<>(SimulatedCluster.Shape.SMALL_TEAMS);
        teams.put("guest", new Settings.Team("guest", 0, 0, 0, 0));
        return new SimulatedCluster(seed, new SimulatedCluster.Shape(capacity, teams, Duration.ofSeconds(3), 0));
    }

    /** Submits a short job of two tasks in each interval, of both teams in turn. */
    static void submitInBothTeams(SimulatedCluster cluster, int first, int jobs, Duration interval) {
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            cluster.after(
                    interval.multipliedBy(i),
                    () -> cluster.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Priority.NORMAL : Priority.HIGH,
                            2,
                            4,
                            Duration.ofSeconds(8)));
        }
    }

    /** Submits a job of three tasks every other second, of one of both teams. */
    static void submitSteadily(SimulatedCluster cluster, int first, int jobs) {
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            cluster.after(
                    Duration.ofSeconds(2L * i),
                    () -> cluster.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            number % 2 == 0 ? Priority.HIGH : Priority.IDLE,
                            3,
                            4,
                            Duration.ofSeconds(9)));
        }
    }

    /** Cancels the jobs through this controller, and through any other one if that does not respond. */
    static void cancelThrough(SimulatedCluster cluster, String node, List<TestUser> users) {
        users.forEach(user ->
                user.cancelOnce(cluster.address(node), () -> cluster.after(Duration.ofSeconds(1), user::cancel)));
    }

    /** Cuts the controller off from the state store. */
    static void cutFromStore(SimulatedCluster cluster, String node, Duration span) {
        cluster.network.cut(node, SimulatedCluster.storeAddress());
        cluster.after(span, () -> cluster.network.heal(node, SimulatedCluster.storeAddress()));
    }

    /** Cuts the agent off from everything, in both directions. */
    static void partition(SimulatedCluster cluster, FakeAgent agent, Duration span) {
        cluster.network.cut(agent.name(), "*");
        cluster.network.cut("*", agent.address());
        cluster.after(span, () -> {
            cluster.network.heal(agent.name(), "*");
            cluster.network.heal("*", agent.address());
        });
    }

    /** Neither responses nor commands reach the agent, while its heartbeats arrive. */
    static void partitionInbound(SimulatedCluster cluster, FakeAgent agent, Duration span) {
        cluster.network.dropResponses(agent.name(), true);
        cluster.network.cut("*", agent.address());
        cluster.after(span, () -> {
            cluster.network.dropResponses(agent.name(), false);
            cluster.network.heal("*", agent.address());
        });
    }

    /** The state store is down for this span. */
    static void storeOutage(SimulatedCluster cluster, Duration from, Duration span) {
        cluster.after(from, () -> cluster.store.setDown(true));
        cluster.after(from.plus(span), () -> cluster.store.setDown(false));
    }

    /** The faults end after this span; then all jobs finish and every controller reports the same states. */
    static void assertRecoversAfter(SimulatedCluster cluster, Duration span) {
        cluster.run(span);
        cluster.endFaults();
        cluster.run(Duration.ofSeconds(330));
        cluster.users().forEach(TestUser::resubmit);
        cluster.users().forEach(TestUser::queryAllControllers);
        cluster.run(Duration.ofSeconds(10));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /** Within this span all jobs finish, and no rule is broken. */
    static void assertFinishesWithin(SimulatedCluster cluster, Duration span) {
        cluster.run(span);
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }
}
