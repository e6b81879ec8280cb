package org.gullway;

import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.cancelThrough;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.partition;
import static org.gullway.FaultScenarios.partitionFromStore;
import static org.gullway.FaultScenarios.partitionInbound;
import static org.gullway.FaultScenarios.scheduleStoreOutage;
import static org.gullway.FaultScenarios.seconds;
import static org.gullway.FaultScenarios.submitSteadily;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;

/** Combinations of leader crashes or partitions with other faults and cancellations. The times vary with the seed. */
class LeaderFaultCombinationsTest {
    private static final Duration LONG_RUN_TIME = Duration.ofSeconds(200);

    /**
     * The leader reaches neither the state store nor its peers, while agents and users still reach it. Jobs are
     * cancelled through another controller, and a new leader is elected.
     */
    @Property(tries = 4, seed = "101")
    void leaderReachesNeitherStoreNorPeersWhileJobsAreCancelled(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String leader = cluster.leader();
        partitionFromStore(cluster, leader, Duration.ofSeconds(70));
        cluster.setPeersPartitioned(leader, true);
        cluster.after(
                seconds(1 + seed % 12),
                () -> cancelThrough(
                        cluster, cluster.otherNode(leader), cluster.users().subList(0, 6)));
        submitSteadily(cluster, 9, 10);
        assertRecoversAfter(cluster, Duration.ofSeconds(70));
    }

    /** All controllers are down for longer than an agent lease. Jobs are cancelled before and during that time. */
    @Property(tries = 4, seed = "102")
    void allControllersAreDownForLongerThanAnAgentLease(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        cluster.users().subList(0, 2).forEach(TestUser::cancel);
        cluster.run(seconds(0.2 + seed % 5));
        for (int i = 0; i < 3; i++) {
            cluster.crash(cluster.nodes().get(i), SimulatedCluster.AGENT_LEASE.plusSeconds(2 + (seed + 5 * i) % 12));
        }
        cluster.after(Duration.ofSeconds(3), () -> cluster.users().subList(2, 5).forEach(TestUser::cancel));
        submitSteadily(cluster, 9, 8);
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * Heartbeats of four agents are held back for 13 to 32 s and then arrive at the leader. Meanwhile the former leader
     * crashes, and jobs are cancelled.
     */
    @Property(tries = 6, seed = "104")
    void delayedHeartbeatsArriveAtANewLeader(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        String leader = cluster.leader();
        List<FakeAgent> delayedAgents = cluster.cloud.agents().stream().limit(4).toList();
        delayedAgents.forEach(agent -> cluster.network.holdRequests(agent.name()));
        cluster.after(seconds(3.5), () -> cluster.crash(leader, Duration.ofSeconds(30)));
        cluster.after(Duration.ofSeconds(5), () -> cluster.users().subList(0, 4).forEach(TestUser::cancel));
        submitSteadily(cluster, 9, 6);
        cluster.after(
                Duration.ofSeconds(13 + seed % 20),
                () -> delayedAgents.forEach(agent -> cluster.network.release(
                        agent.name(), cluster.address(cluster.leader() == null ? "perch-0" : cluster.leader()))));
        assertRecoversAfter(cluster, Duration.ofSeconds(50));
    }

    /** Three leaders crash one after another. Then all controllers crash, and one of them restarts within a second. */
    @Property(tries = 6, seed = "109")
    void repeatedFailoversThenAllCrashAndOneRestarts(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        submitSteadily(cluster, 9, 10);
        for (int i = 0; i < 3; i++) {
            cluster.crash(
                    cluster.leader() == null ? "perch-" + i : cluster.leader(), Duration.ofMillis(100 + seed % 900));
            cluster.run(seconds(0.5 + seed % 3));
        }
        String restarted = cluster.nodes().get(seed % 3);
        cluster.nodes()
                .forEach(node -> cluster.crash(
                        node, node.equals(restarted) ? Duration.ofMillis(seed % 1000) : Duration.ofSeconds(25)));
        cluster.after(Duration.ofSeconds(2), () -> cluster.users().subList(0, 3).forEach(TestUser::cancel));
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * Jobs have more tasks than can run at a time, so that the tasks of a job end far apart. Leaders crash in between.
     */
    @Property(tries = 6, seed = "110")
    void tasksOfOneJobEndFarApartAcrossFailovers(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        // The tasks of the first job exceed the quota of team red (24 CPUs), and those of the second job exceed the
        // quota of team blue (64 CPUs). The third job needs the whole quota of team blue.
        cluster.submit(1, "red", Priority.HIGH, 3, 16, Duration.ofSeconds(15));
        cluster.submit(2, "blue", Priority.NORMAL, 3, 32, Duration.ofSeconds(11));
        cluster.submit(3, "blue", Priority.HIGH, 2, 32, Duration.ofSeconds(13));
        for (int i = 0; i < 4; i++) {
            cluster.run(seconds(18 + seed % 7));
            if (cluster.leader() != null) {
                cluster.crash(cluster.leader(), Duration.ofSeconds(1 + seed % 12));
            }
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(10));
    }

    /** The leader crashes while machines with running tasks are partitioned, in both directions or inbound only. */
    @Property(tries = 6, seed = "121")
    void leaderCrashesWhileMachinesWithLongTasksArePartitioned(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String leader = cluster.leader();
        Duration duration = Duration.ofSeconds(8 + seed % 45);
        List<FakeAgent> agents = cluster.cloud.agents();
        agents.stream().limit(2).forEach(agent -> partition(cluster, agent, duration));
        agents.stream().skip(2).limit(2).forEach(agent -> partitionInbound(cluster, agent, duration));
        cluster.run(seconds(seed % 4));
        cluster.crash(leader, Duration.ofSeconds(1 + seed % 50));
        submitSteadily(cluster, 9, 6);
        cluster.after(
                Duration.ofSeconds(seed % 25),
                () -> cluster.users().subList(0, 3).forEach(TestUser::cancel));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    /** The leader crashes ten times in two minutes, also during an outage of the state store. */
    @Property(tries = 6, seed = "124")
    void tenLeaderCrashesInTwoMinutesAlsoInAStoreOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(70));
        submitSteadily(cluster, 9, 20);
        scheduleStoreOutage(cluster, Duration.ofSeconds(30), Duration.ofSeconds(15 + seed % 12));
        for (int i = 0; i < 10; i++) {
            int number = i;
            cluster.after(Duration.ofSeconds(12L * i), () -> {
                String leader = cluster.leader() == null ? cluster.nodes().get(number % 3) : cluster.leader();
                cluster.crash(leader, Duration.ofMillis(100 + (seed * 37L + number * 1700L) % 9000));
            });
            cluster.after(
                    seconds(12.0 * i + 1 + seed % 5),
                    () -> cluster.users().get(number).cancel());
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(125));
    }
}
