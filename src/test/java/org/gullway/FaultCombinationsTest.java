package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedCluster.Bounds;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;

/**
 * Two faults that meet, each in its hard sequence: one schedule or more for every meeting that users have named, since
 * most rules that were broken broke there. The order of the tests is theirs.
 */
class FaultCombinationsTest {
    private static final Duration LONG = Duration.ofSeconds(200);

    static Duration seconds(double seconds) {
        return Duration.ofMillis(Math.round(seconds * 1000));
    }

    /** Eight jobs of two tasks that run, urgent ones and others, of both teams; red is at its limit. */
    static SimulatedCluster clusterWithRunningJobs(int seed, Duration runTime) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 8; i++) {
            cluster.submit(i, i < 4 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, runTime);
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.running())
                .as("tasks that run when the troubles begin")
                .isEqualTo(16);
        return cluster;
    }

    /** New work of both teams, a job every other second. */
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

    static void cancelThrough(SimulatedCluster cluster, String node, List<TestUser> users) {
        users.forEach(user ->
                user.cancelOnce(cluster.address(node), () -> cluster.after(Duration.ofSeconds(1), user::cancel)));
    }

    static void cutFromStore(SimulatedCluster cluster, String node, Duration span) {
        cluster.network.cut(node, SimulatedCluster.storeAddress());
        cluster.after(span, () -> cluster.network.heal(node, SimulatedCluster.storeAddress()));
    }

    static void partition(SimulatedCluster cluster, FakeAgent agent, Duration span) {
        cluster.network.cut(agent.name(), "*");
        cluster.network.cut("*", agent.address());
        cluster.after(span, () -> {
            cluster.network.heal(agent.name(), "*");
            cluster.network.heal("*", agent.address());
        });
    }

    static void partitionInbound(SimulatedCluster cluster, FakeAgent agent, Duration span) {
        cluster.network.dropResponses(agent.name(), true);
        cluster.network.cut("*", agent.address());
        cluster.after(span, () -> {
            cluster.network.dropResponses(agent.name(), false);
            cluster.network.heal("*", agent.address());
        });
    }

    static void storeOutage(SimulatedCluster cluster, Duration from, Duration span) {
        cluster.after(from, () -> cluster.store.setDown(true));
        cluster.after(from.plus(span), () -> cluster.store.setDown(false));
    }

    /** The faults end after this span; then all work gets done and every controller says the same of it. */
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

    // A leader is cut from the state store and from the other controllers while agents and users still reach it, and
    // jobs are cancelled through the new one.

    @Property(tries = 4, seed = "101")
    void leaderReachesOnlyAgentsAndUsersWhileTheNewOneCancels(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        cutFromStore(cluster, leader, Duration.ofSeconds(70));
        cluster.partitionPeers(leader, true);
        cluster.after(
                seconds(1 + seed % 12),
                () -> cancelThrough(
                        cluster, cluster.otherNode(leader), cluster.users().subList(0, 6)));
        submitSteadily(cluster, 9, 10);
        assertRecoversAfter(cluster, Duration.ofSeconds(70));
    }

    // All controllers are away for longer than a lease.

    @Property(tries = 4, seed = "102")
    void allControllersDownForLongerThanALease(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        cluster.users().subList(0, 2).forEach(TestUser::cancel);
        cluster.run(seconds(0.2 + seed % 5));
        for (int i = 0; i < 3; i++) {
            cluster.crash(cluster.nodes().get(i), SimulatedCluster.LEASE.plusSeconds(2 + (seed + 5 * i) % 12));
        }
        cluster.after(Duration.ofSeconds(3), () -> cluster.users().subList(2, 5).forEach(TestUser::cancel));
        submitSteadily(cluster, 9, 8);
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    // A transaction without an answer is applied late, after newer ones of the same controller.

    @Property(tries = 6, seed = "103")
    void transactionsAreAppliedAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(45));
        cluster.store.applyLate(0.3, cluster.random.split());
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

    // A report is held back until a new leader has acted, and then arrives there.

    @Property(tries = 6, seed = "104")
    void heartbeatsHeldUntilANewLeaderHasActed(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        String leader = cluster.leader();
        List<FakeAgent> held = cluster.cloud.agents().stream().limit(4).toList();
        held.forEach(agent -> cluster.network.holdRequests(agent.name()));
        cluster.after(seconds(3.5), () -> cluster.crash(leader, Duration.ofSeconds(30)));
        cluster.after(Duration.ofSeconds(5), () -> cluster.users().subList(0, 4).forEach(TestUser::cancel));
        submitSteadily(cluster, 9, 6);
        cluster.after(
                Duration.ofSeconds(13 + seed % 20),
                () -> held.forEach(agent -> cluster.network.release(
                        agent.name(), cluster.address(cluster.leader() == null ? "perch-0" : cluster.leader()))));
        assertRecoversAfter(cluster, Duration.ofSeconds(50));
    }

    // Jobs bound to one zone, arrays too, lose machines.

    private static void assertZoneBoundJobsSurvive(int seed, List<Priority> priorities) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        List<Bounds> bounds = List.of(
                Bounds.in("a"),
                Bounds.ONE_ZONE,
                Bounds.SPREAD,
                new Bounds(List.of("large"), null, true, false, false),
                new Bounds(List.of("small"), "b", false, false, true));
        for (int i = 1; i <= 10; i++) {
            cluster.submit(
                    i,
                    i % 3 == 0 ? "red" : "blue",
                    priorities.get(i % 2),
                    5,
                    4,
                    Duration.ofSeconds(25),
                    bounds.get(i % 5));
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.running()).isPositive();
        String zone = seed % 2 == 0 ? "a" : "b";
        cluster.cloud.agents().stream()
                .filter(w -> w.kind().zone().equals(zone))
                .limit(2)
                .forEach(FakeAgent::terminate);
        cluster.after(Duration.ofSeconds(4), () -> cluster.cloud.agents().stream()
                .filter(w -> w.kind().zone().equals(zone))
                .limit(2)
                .forEach(w -> partition(cluster, w, Duration.ofSeconds(30))));
        cluster.after(Duration.ofSeconds(6), () -> cluster.cloud.agents().stream()
                .filter(w -> w.kind().spot())
                .limit(2)
                .forEach(cluster.cloud::reclaimSpot));
        cluster.after(Duration.ofSeconds(9), () -> cluster.crash(cluster.leader(), Duration.ofSeconds(1)));
        assertRecoversAfter(cluster, Duration.ofSeconds(45));
    }

    @Property(tries = 6, seed = "105")
    void urgentJobsBoundToOneZoneLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertZoneBoundJobsSurvive(seed, List.of(Priority.PROD, Priority.HIGH));
    }

    @Property(tries = 6, seed = "125")
    void bestEffortJobsBoundToOneZoneLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertZoneBoundJobsSurvive(seed, List.of(Priority.NORMAL, Priority.IDLE));
    }

    // A team is at its limit when the leader changes, some of its machines can't be asked, and a cancellation falls
    // into
    // that spell.

    @Property(tries = 6, seed = "106")
    void teamAtItsQuotaWithFailoverUnresponsiveMachinesAndCancellation(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(100));
        for (int i = 9; i < 15; i++) {
            cluster.submit(i, "red", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, Duration.ofSeconds(10));
        }
        cluster.run(Duration.ofSeconds(3));
        cluster.cloud.agents().stream().limit(4).forEach(agent -> {
            if (agent.name().hashCode() % 2 == seed % 2) {
                partition(cluster, agent, Duration.ofSeconds(30));
            } else {
                partitionInbound(cluster, agent, Duration.ofSeconds(30));
            }
        });
        cluster.run(seconds(0.5 + seed % 4));
        cluster.crash(cluster.leader(), Duration.ofSeconds(10));
        cluster.after(seconds(1 + seed % 7), () -> cluster.users().subList(0, 3).forEach(TestUser::cancel));
        assertRecoversAfter(cluster, Duration.ofSeconds(45));
    }

    // The state store answers slowly, or refuses the leader alone and then everybody for longer than the cancel
    // limit,
    // while users cancel and ask.

    @Property(tries = 6, seed = "107")
    void slowStoreRejectsTheLeaderAndThenEverybody(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        cluster.store.addLatency(700, cluster.random.split());
        cluster.after(Duration.ofSeconds(5), () -> cluster.store.rejectFrom(leader, true));
        storeOutage(cluster, Duration.ofSeconds(9 + seed % 6), SimulatedCluster.CANCEL.plusSeconds(15));
        for (int i = 0; i < 8; i++) {
            TestUser user = cluster.users().get(i);
            cluster.after(seconds(2.5 * i), user::cancel);
            cluster.after(seconds(2.5 * i + 0.3), user::queryAllControllers);
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(75));
    }

    // An old report arrives after newer ones, also from an earlier agent epoch or attempt.

    @Property(tries = 6, seed = "108")
    void heartbeatsOfEarlierAgentEpochsArriveAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(50));
        cluster.network.duplicateLate(
                0.9, "/agent/beat", SimulatedCluster.LEASE.multipliedBy(2), cluster.userAddresses());
        cluster.cloud.agents().stream().limit(3).forEach(agent -> {
            cluster.after(Duration.ofSeconds(4), () -> cluster.network.blockOutbound(agent.name(), true));
            cluster.after(
                    Duration.ofSeconds(4).plus(SimulatedCluster.LEASE).plusMillis(500),
                    () -> cluster.network.blockOutbound(agent.name(), false));
        });
        // Urgent work that has others stopped, so that attempts follow each other on one machine.
        submitSteadily(cluster, 9, 12);
        cluster.after(Duration.ofSeconds(30), () -> cluster.crash(cluster.leader(), Duration.ofMillis(200)));
        assertRecoversAfter(cluster, Duration.ofSeconds(70));
    }

    // Controllers hand over and back, all end, and one returns, also within a second.

    @Property(tries = 6, seed = "109")
    void failoverBackAndForthThenAllCrashAndOneReturns(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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

    // Jobs of two or three tasks end far apart across a change of leader.

    @Property(tries = 6, seed = "110")
    void tasksOfOneJobEndFarApartAcrossAChangeOfLeader(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        // The limits of the teams let their tasks run one after another.
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

    // A command or its answer is held up for seconds, and the machine then goes on.

    @Property(tries = 6, seed = "111")
    void machineHangsWithPendingCommandsAndResumes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        for (int i = 0; i < 3; i++) {
            submitSteadily(cluster, 9 + 3 * i, 3);
            cluster.run(seconds(0.1 + seed % 10 / 20.0));
            int first = 2 * i;
            List<FakeAgent> agents = cluster.cloud.agents();
            agents.stream()
                    .skip((seed + i) % 3)
                    .limit(5)
                    .forEach(
                            agent -> agent.hang(seconds(3 + (seed + agent.name().hashCode()) % 9)));
            cluster.after(
                    Duration.ofMillis(200),
                    () -> cluster.users().subList(first, first + 2).forEach(TestUser::cancel));
            cluster.run(Duration.ofSeconds(14));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(10));
    }

    @Property(tries = 6, seed = "112")
    void machineHangsBeyondItsLeaseWithCancelledTasks(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        cluster.users().subList(0, 6).forEach(TestUser::cancel);
        cluster.run(Duration.ofMillis(seed % 20));
        cluster.cloud.agents().forEach(agent -> agent.hang(SimulatedCluster.CANCEL.plusSeconds(30)));
        submitSteadily(cluster, 9, 8);
        assertRecoversAfter(cluster, Duration.ofSeconds(80));
    }

    // Agents can't open connections to any controller, while direct commands still reach them.

    @Property(tries = 6, seed = "113")
    void machinesWithAnOutboundPartition(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(70));
        cluster.cloud.agents().stream().limit(4).forEach(agent -> {
            cluster.network.blockOutbound(agent.name(), true);
            cluster.after(Duration.ofSeconds(15 + seed % 40), () -> cluster.network.blockOutbound(agent.name(), false));
        });
        submitSteadily(cluster, 9, 8);
        cluster.after(Duration.ofSeconds(2), () -> cluster.users().subList(0, 4).forEach(TestUser::cancel));
        cluster.after(Duration.ofSeconds(8), () -> cluster.crash(cluster.leader(), Duration.ofSeconds(2)));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    // There is more work than room, urgent and not, over slow links.

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
                            Priority.values()[number % 4],
                            1 + number % 6,
                            number % 10 == 0 ? 16 : 4,
                            Duration.ofSeconds(8)));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(200));
    }

    // Jobs are cancelled at the very moment at which the state store refuses the leader alone, and a second later it
    // is
    // out for longer than the cancel limit.

    /** Agents report on to the leader, which alone has not heard of the cancellations. */
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

    @Property(tries = 6, seed = "115")
    void leaderRejectedAloneThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> {});
    }

    @Property(tries = 6, seed = "116")
    void leaderRejectedAndPartitionedThenCancellationsAndOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.partitionPeers(leader, true));
    }

    @Property(tries = 6, seed = "117")
    void leaderRejectedAloneAndTheConfirmingControllerCrashes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(
                seed,
                (cluster, leader) -> cluster.after(
                        Duration.ofMillis(110 + seed % 400),
                        () -> cluster.crash(cluster.otherNode(leader), Duration.ofSeconds(seed % 60))));
    }

    /** Only the cloud can end what is on them, and whoever knows of the cancellations returns them in time. */
    @Property(tries = 6, seed = "126")
    void leaderRejectedThenOutageAndMachinesHangBeyondTheLimit(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(150 + seed % 300),
                        () -> agent.hang(SimulatedCluster.CANCEL.plusSeconds(20)))));
    }

    /** They go on within the limit: what is on them ends with their leases, or is stopped. */
    @Property(tries = 6, seed = "118")
    void leaderRejectedThenOutageAndMachinesHang(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> cluster.after(
                        Duration.ofMillis(50 + seed % 300), () -> agent.hang(Duration.ofSeconds(5 + seed % 30)))));
    }

    @Property(tries = 6, seed = "119")
    void leaderRejectedThenOutageAndInboundPartitions(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertCancellationsHoldInOutage(seed, (cluster, leader) -> cluster.cloud.agents().stream()
                .limit(4)
                .forEach(agent -> partitionInbound(cluster, agent, Duration.ofSeconds(10 + seed % 50))));
    }

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

    // A leader ends while machines with long tasks can't be reached, or don't hear the new leader's answer.

    @Property(tries = 6, seed = "121")
    void leaderCrashesWhileMachinesWithLongTasksArePartitioned(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String leader = cluster.leader();
        Duration span = Duration.ofSeconds(8 + seed % 45);
        List<FakeAgent> agents = cluster.cloud.agents();
        agents.stream().limit(2).forEach(agent -> partition(cluster, agent, span));
        agents.stream().skip(2).limit(2).forEach(agent -> partitionInbound(cluster, agent, span));
        cluster.run(seconds(seed % 4));
        cluster.crash(leader, Duration.ofSeconds(1 + seed % 50));
        submitSteadily(cluster, 9, 6);
        cluster.after(
                Duration.ofSeconds(seed % 25),
                () -> cluster.users().subList(0, 3).forEach(TestUser::cancel));
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    // A cancellation, a query or a repeated submission meets the end of a job's last task, with no other fault.

    @Property(tries = 6, seed = "122")
    void requestsRaceWithTheLastCompletion(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.onDone(user -> {
            cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::queryAllControllers);
            cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::resubmit);
            if (user.request.id().hashCode() % 2 == 0) {
                cluster.after(Duration.ofMillis(cluster.random.nextInt(700)), user::cancel);
            } else {
                cluster.after(Duration.ZERO, user::cancel);
            }
            for (int i = 0; i < 3; i++) {
                cluster.after(
                        Duration.ofMillis(cluster.random.nextInt(12_000)),
                        () -> user.cancelOnce(
                                cluster.address(cluster.nodes().get(cluster.random.nextInt(3))), () -> {}));
                cluster.after(Duration.ofMillis(cluster.random.nextInt(12_000)), user::queryAllControllers);
                cluster.after(Duration.ofMillis(cluster.random.nextInt(12_000)), user::resubmit);
            }
        });
        for (int i = 1; i <= 30; i++) {
            cluster.submit(
                    i, i % 3 == 0 ? "red" : "blue", Priority.values()[i % 4], 1 + i % 3, 4, seconds(2 + i % 7 * 1.3));
        }
        for (int i = 0; i < 6; i++) {
            int number = 100 + 2 * i;
            cluster.after(Duration.ofSeconds(i), () -> cluster.submitInvalid(number));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(60));
    }

    // A zone with agents and a controller is partitioned for longer than a lease.

    @Property(tries = 6, seed = "123")
    void zonePartitionLongerThanALeaseWithCancellations(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG);
        String zone = seed % 2 == 0 ? "a" : "b";
        Duration span = SimulatedCluster.LEASE.plusSeconds(2 + seed % 40);
        cluster.partitionZone(zone, true);
        cluster.after(span, () -> cluster.partitionZone(zone, false));
        submitSteadily(cluster, 9, 6);
        cluster.after(seconds(seed % 20), () -> cluster.users().subList(0, 4).forEach(TestUser::cancel));
        cluster.after(span, () -> cluster.crash(cluster.nodes().get(seed % 3), Duration.ofSeconds(1)));
        assertRecoversAfter(cluster, span.plusSeconds(5));
    }

    // Leaders change ten times in two minutes, also inside an outage.

    @Property(tries = 6, seed = "124")
    void tenFailoversInTwoMinutesAlsoInAnOutage(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(70));
        submitSteadily(cluster, 9, 20);
        storeOutage(cluster, Duration.ofSeconds(30), Duration.ofSeconds(15 + seed % 12));
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
