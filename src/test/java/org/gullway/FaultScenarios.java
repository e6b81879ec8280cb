package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;

/** Clusters with running jobs, temporary faults and final checks, shared by the scenario tests. */
final class FaultScenarios {
    private FaultScenarios() {}

    static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /**
     * Starts a cluster that runs eight jobs of two tasks each. The jobs are reserved or best-effort and belong to both
     * teams; team red uses its whole quota.
     */
    static SimulatedCluster clusterWithRunningJobs(int seed, Duration runTime) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 8; i++) {
            cluster.submit(i, i < 4 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, runTime);
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.runningTasks())
                .as("running tasks before the faults")
                .isEqualTo(16);
        return cluster;
    }

    /** Starts a cluster with a third team, guest, which has neither a guaranteed quota nor a limit. */
    static SimulatedCluster clusterWithGuestTeam(int seed, int capacity) {
        Map<String, Settings.Team> teams = new HashMap<>(SimulatedCluster.Setup.SMALL_TEAMS);
        teams.put("guest", new Settings.Team("guest", 0, 0, 0, 0));
        return new SimulatedCluster(seed, new SimulatedCluster.Setup(capacity, teams, Duration.ofSeconds(3), 0));
    }

    /** Submits one job of two tasks per interval, alternately of both teams. Each task runs for 8 s. */
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

    /** Submits one job of three tasks every 2 s; every third job is of team red. Each task runs for 9 s. */
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

    /**
     * Cancels the jobs through the given controller, or through a random one if the given controller does not confirm.
     */
    static void cancelThrough(SimulatedCluster cluster, String node, List<TestUser> users) {
        users.forEach(user ->
                user.cancelOnce(cluster.address(node), () -> cluster.after(Duration.ofSeconds(1), user::cancel)));
    }

    /** Drops all requests of the controller to the state store for the given time. */
    static void partitionFromStore(SimulatedCluster cluster, String node, Duration duration) {
        cluster.network.cut(node, SimulatedCluster.storeAddress());
        cluster.after(duration, () -> cluster.network.heal(node, SimulatedCluster.storeAddress()));
    }

    /** Drops all requests from and to the agent for the given time. */
    static void partition(SimulatedCluster cluster, FakeAgent agent, Duration duration) {
        cluster.network.cut(agent.name(), "*");
        cluster.network.cut("*", agent.address());
        cluster.after(duration, () -> {
            cluster.network.heal(agent.name(), "*");
            cluster.network.heal("*", agent.address());
        });
    }

    /** Drops all responses and commands to the agent for the given time, while its heartbeats still arrive. */
    static void partitionInbound(SimulatedCluster cluster, FakeAgent agent, Duration duration) {
        cluster.network.dropResponses(agent.name(), true);
        cluster.network.cut("*", agent.address());
        cluster.after(duration, () -> {
            cluster.network.dropResponses(agent.name(), false);
            cluster.network.heal("*", agent.address());
        });
    }

    /** Schedules an outage of the state store that begins after the given delay. */
    static void scheduleStoreOutage(SimulatedCluster cluster, Duration delay, Duration duration) {
        cluster.after(delay, () -> cluster.store.setDown(true));
        cluster.after(delay.plus(duration), () -> cluster.store.setDown(false));
    }

    /**
     * Ends all faults after the given time. Checks that all jobs finish within another 330 s of virtual time, and that
     * no invariant was violated, also when users resubmit and query all jobs afterwards.
     */
    static void assertRecoversAfter(SimulatedCluster cluster, Duration duration) {
        cluster.run(duration);
        cluster.endFaults();
        cluster.run(Duration.ofSeconds(330));
        cluster.users().forEach(TestUser::resubmit);
        cluster.users().forEach(TestUser::queryAllControllers);
        cluster.run(Duration.ofSeconds(10));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /** Runs for the given time, then checks that all jobs finished and that no invariant was violated. */
    static void assertFinishesWithin(SimulatedCluster cluster, Duration duration) {
        cluster.run(duration);
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }
}
