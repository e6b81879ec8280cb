package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.cancelThrough;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.partitionInbound;
import static org.gullway.FaultScenarios.scheduleStoreOutage;
import static org.gullway.FaultScenarios.seconds;
import static org.gullway.FaultScenarios.submitSteadily;

import java.time.Duration;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Priority;

/**
 * Pairs of faults around a state store that is slow, down or rejects one controller; each schedule drives them into
 * their worst order.
 */
class StoreFaultCombinationsTest {
    private static final Duration LONG = Duration.ofSeconds(200);

    /** A transaction without a response is applied late, after newer ones of the same controller. */
    @Property(tries = 6, seed = "103")
    void transactionsAreAppliedAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(45));
        cluster.store.delayCommits(0.3, cluster.random.split());
        submitSteadily(cluster, 9, 12);
        for (int i = 0; i < 5; i++) {
            int number = i;
            cluster.after(
                    Duration.ofSeconds(4L * i),
                    () -> cluster.users().get(2 * number).cancel());
        }
        cluster.after(
                Duration.ofSeconds(15),
                () -> cluster.crash(cluster.leader() == null ? "perch-0" : cluster.leader(), Duration.ofMillis(100)));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    /**
     * The store is slow, then rejects the leader alone, then everybody for longer than the cancel limit, while users
     * cancel and query.
     */
    @Property(tries = 6, seed = "107")
    void slowStoreRejectsTheLeaderAndThenEverybody(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        cluster.store.addLatency(700, cluster.random.split());
        cluster.after(Duration.ofSeconds(5), () -> cluster.store.rejectFrom(leader, true));
        scheduleStoreOutage(cluster, Duration.ofSeconds(9 + seed % 6), SimulatedCluster.CANCEL.plusSeconds(15));
        for (int i = 0; i < 8; i++) {
            TestUser user = cluster.users().get(i);
            cluster.after(seconds(2.5 * i), user::cancel);
            cluster.after(seconds(2.5 * i + 0.3), user::queryAllControllers);
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(75));
    }

    /** There is more work than capacity, reserved and best-effort, over slow links with late messages. */
    @Property(tries = 3, seed = "114")
    void moreWorkThanCapacityOverSlowLinks(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0.08, 1);
        cluster.store.addLatency(400, cluster.random.split());
        for (int i = 1; i <= 40; i++) {
            int number = i;
            cluster.after(
                    Duration.ofSeconds(2L * i),
                    () -> cluster.submit(
                            number,
                            number % 3 == 0 ? "red" : "blue",
                            SimulatedCluster.PRIORITIES.get(number % 4),
                            1 + number % 6,
                            number % 10 == 0 ? 16 : 4,
                            Duration.ofSeconds(8)));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(200));
    }

    /**
     * Jobs are cancelled while the state store rejects the leader alone, and a second later the store is down for longer
     * than the cancel limit. Agents go on sending heartbeats to the leader, the only controller that does not know of the
     * cancellations.
     *
     * @param fault is injected beside that; it is given the cluster and the leader's name
     */
    private static void assertCancellationsHoldInOutage(int seed, BiConsumer<SimulatedCluster, String> fault) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        String confirming = cluster.otherNode(leader);
        cluster.store.rejectFrom(leader, true);
        fault.accept(cluster, leader);
        cluster.after(
                Duration.ofMillis(100),
                () -> cancelThrough(cluster, confirming, cluster.users().subList(0, 7)));
        cluster.run(seconds(1.1 + seed % 10 / 10.0));
        assertThat(cluster.unfinished().size())
                .as("some are cancelled")
                .isLessThan(cluster.users().size());
        cluster.store.setDown(true);
        assertRecoversAfter(cluster, SimulatedCluster.CANCEL.plusSeconds(15));
    }

    /** No further fault. */
    @Property(tries = 6, seed = "115")
    void leaderRejectedAloneThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> {});
    }

    /** The leader is partitioned from its peers as well. */
    @Property(tries = 6, seed = "116")
    void leaderRejectedAndPartitionedThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.partitionPeers(leader, true));
    }

    /** The controller that confirmed the cancellations crashes. */
    @Property(tries = 6, seed = "117")
    void leaderRejectedAloneAndTheConfirmingControllerCrashes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(
                seed,
                (cluster, leader) -> cluster.after(
                        Duration.ofMillis(110 + seed % 400),
                        () -> cluster.crash(cluster.otherNode(leader), Duration.ofSeconds(seed % 60))));
    }

    /**
     * Machines hang beyond the limit: only the cloud can end their tasks, so a controller that knows of the cancellations
     * has to release them in time.
     */
    @Property(tries = 6, seed = "126")
    void leaderRejectedThenOutageAndMachinesHangBeyondTheLimit(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(150 + seed % 300),
                        () -> agent.hang(SimulatedCluster.CANCEL.plusSeconds(20)))));
    }

    /** Machines hang within the limit: their tasks end with their leases, or are stopped. */
    @Property(tries = 6, seed = "118")
    void leaderRejectedThenOutageAndMachinesHang(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(50 + seed % 300), () -> agent.hang(Duration.ofSeconds(5 + seed % 30)))));
    }

    /** Machines get neither responses nor commands. */
    @Property(tries = 6, seed = "119")
    void leaderRejectedThenOutageAndInboundPartitions(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> partitionInbound(cluster, agent, Duration.ofSeconds(10 + seed % 50))));
    }

    /** Starts are on their way to machines that the leader cannot reach. */
    @Property(tries = 6, seed = "120")
    void leaderRejectedThenOutageAndStartsInFlight(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        cluster.cloud.agents().forEach(agent -> {
            cluster.network.cut(leader, agent.address());
            cluster.after(Duration.ofSeconds(5 + seed % 45), () -> cluster.network.heal(leader, agent.address()));
        });
        for (int i = 9; i < 12; i++) {
            cluster.submit(i, "blue", Priority.HIGH, 1, 4, LONG);
        }
        cluster.run(seconds(0.8));
        cluster.store.rejectFrom(leader, true);
        cancelThrough(cluster, cluster.otherNode(leader), cluster.users().subList(3, 11));
        cluster.run(seconds(1 + seed % 10 / 10.0));
        assertThat(cluster.unfinished().size())
                .as("some are cancelled")
                .isLessThan(cluster.users().size());
        cluster.store.setDown(true);
        assertRecoversAfter(cluster, SimulatedCluster.CANCEL.plusSeconds(15));
    }
}
