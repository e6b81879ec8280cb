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
 * Combinations of faults of the state store with crashes, cancellations and partitions. The times vary with the seed.
 */
class StoreFaultCombinationsTest {
    private static final Duration LONG_RUN_TIME = Duration.ofSeconds(200);

    /** Transactions without a response are applied late, after newer transactions of the same controller. */
    @Property(tries = 6, seed = "103")
    void transactionsAreAppliedAfterNewerTransactions(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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
     * The state store is slow, then rejects only the leader, and then is down for longer than the cancellation limit.
     * Meanwhile users cancel and query their jobs.
     */
    @Property(tries = 6, seed = "107")
    void slowStoreRejectsTheLeaderAndThenAllControllers(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String leader = cluster.leader();
        cluster.store.addLatency(700, cluster.random.split());
        cluster.after(Duration.ofSeconds(5), () -> cluster.store.rejectFrom(leader, true));
        scheduleStoreOutage(
                cluster, Duration.ofSeconds(9 + seed % 6), SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(15));
        for (int i = 0; i < 8; i++) {
            TestUser user = cluster.users().get(i);
            cluster.after(seconds(2.5 * i), user::cancel);
            cluster.after(seconds(2.5 * i + 0.3), user::queryAllControllers);
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(75));
    }

    /** Jobs of all priorities exceed the capacity, the state store is slow, and messages are late or repeated. */
    @Property(tries = 3, seed = "114")
    void jobsExceedTheCapacityWithASlowStoreAndLateMessages(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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
     * The state store rejects only the leader, and jobs are cancelled through another controller. About 1 to 2 s later
     * the state store is down for longer than the cancellation limit. The leader is the only controller that does not
     * know of the cancellations, and agents still send heartbeats to it. The cancelled tasks must end within the limit
     * all the same.
     *
     * @param fault injects a further fault, given the cluster and the name of the leader
     */
    private static void assertCancelledTasksEndDuringOutage(int seed, BiConsumer<SimulatedCluster, String> fault) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String leader = cluster.leader();
        String confirmingController = cluster.otherNode(leader);
        cluster.store.rejectFrom(leader, true);
        fault.accept(cluster, leader);
        cluster.after(
                Duration.ofMillis(100),
                () -> cancelThrough(
                        cluster, confirmingController, cluster.users().subList(0, 7)));
        cluster.run(seconds(1.1 + seed % 10 / 10.0));
        assertThat(cluster.unfinished().size())
                .as("unfinished jobs; some cancellations must be confirmed before the outage")
                .isLessThan(cluster.users().size());
        cluster.store.setDown(true);
        assertRecoversAfter(cluster, SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(15));
    }

    /** {@link #assertCancelledTasksEndDuringOutage} without an additional fault. */
    @Property(tries = 6, seed = "115")
    void onlyTheLeaderIsRejectedThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(seed, (cluster, leader) -> {});
    }

    /** {@link #assertCancelledTasksEndDuringOutage}, and the leader cannot reach its peers. */
    @Property(tries = 6, seed = "116")
    void leaderRejectedAndPartitionedThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(seed, (cluster, leader) -> cluster.setPeersPartitioned(leader, true));
    }

    /** {@link #assertCancelledTasksEndDuringOutage}, and the controller that confirmed the cancellations crashes. */
    @Property(tries = 6, seed = "117")
    void onlyTheLeaderIsRejectedAndTheConfirmingControllerCrashes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(
                seed,
                (cluster, leader) -> cluster.after(
                        Duration.ofMillis(110 + seed % 400),
                        () -> cluster.crash(cluster.otherNode(leader), Duration.ofSeconds(seed % 60))));
    }

    /**
     * {@link #assertCancelledTasksEndDuringOutage}, and some machines hang beyond the cancellation limit, so that only
     * the cloud provider can end their tasks. A controller that knows of the cancellations has to release the machines
     * in time.
     */
    @Property(tries = 6, seed = "126")
    void leaderRejectedThenOutageAndMachinesHangBeyondTheLimit(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(150 + seed % 300),
                        () -> agent.hang(SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(20)))));
    }

    /**
     * {@link #assertCancelledTasksEndDuringOutage}, and some machines hang for less than the cancellation limit. Their
     * tasks end when the leases expire or by a stop command.
     */
    @Property(tries = 6, seed = "118")
    void leaderRejectedThenOutageAndMachinesHang(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(50 + seed % 300), () -> agent.hang(Duration.ofSeconds(5 + seed % 30)))));
    }

    /** {@link #assertCancelledTasksEndDuringOutage}, and some machines receive neither responses nor commands. */
    @Property(tries = 6, seed = "119")
    void leaderRejectedThenOutageAndInboundPartitions(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancelledTasksEndDuringOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> partitionInbound(cluster, agent, Duration.ofSeconds(10 + seed % 50))));
    }

    /**
     * The leader cannot reach any machine. Start commands are pending when their jobs are cancelled, and the state
     * store first rejects only the leader and then is down.
     */
    @Property(tries = 6, seed = "120")
    void leaderRejectedThenOutageAndStartsInFlight(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String leader = cluster.leader();
        cluster.cloud.agents().forEach(agent -> {
            cluster.network.cut(leader, agent.address());
            cluster.after(Duration.ofSeconds(5 + seed % 45), () -> cluster.network.heal(leader, agent.address()));
        });
        for (int i = 9; i < 12; i++) {
            cluster.submit(i, "blue", Priority.HIGH, 1, 4, LONG_RUN_TIME);
        }
        cluster.run(seconds(0.8));
        cluster.store.rejectFrom(leader, true);
        cancelThrough(cluster, cluster.otherNode(leader), cluster.users().subList(3, 11));
        cluster.run(seconds(1 + seed % 10 / 10.0));
        assertThat(cluster.unfinished().size())
                .as("unfinished jobs; some cancellations must be confirmed before the outage")
                .isLessThan(cluster.users().size());
        cluster.store.setDown(true);
        assertRecoversAfter(cluster, SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(15));
    }
}
