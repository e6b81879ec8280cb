package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.cancelThrough;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.cutFromStore;
import static org.gullway.FaultScenarios.partition;
import static org.gullway.FaultScenarios.partitionInbound;
import static org.gullway.FaultScenarios.seconds;
import static org.gullway.FaultScenarios.submitSteadily;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedCluster.Bounds;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpStatus;

/**
 * Failover of shards, jobs and the leadership while old messages are in flight, jobs are cancelled or machines are
 * unresponsive.
 */
class FailoverFaultsTest {
    private static Bounds onType(String type) {
        return new Bounds(List.of(type), null, false, false, true);
    }

    private static FakeAgent agentOfType(SimulatedCluster cluster, String type) {
        return cluster.cloud.agents().stream()
                .filter(agent -> agent.kind().type().equals(type))
                .findFirst()
                .orElseThrow();
    }

    /** One idle machine of each type. */
    private static SimulatedCluster twoIdleMachines(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 1);
        cluster.submit(1, "blue", Priority.HIGH, 1, 20, Duration.ofSeconds(5), onType("large"));
        cluster.submit(2, "blue", Priority.HIGH, 1, 14, Duration.ofSeconds(5), onType("small"));
        cluster.run(Duration.ofSeconds(25));
        return cluster;
    }

    /**
     * A task runs on a machine that becomes unresponsive, its job is cancelled, and other jobs of the team wait for
     * its resources. Then a leader takes over, and every controller gets heartbeats from before the start of the task,
     * without it. If all controllers restarted, this guards that a task is taken for ended only once the agent has
     * confirmed the fencing token of the failover; if only the leader crashed, that a heartbeat older than the newest
     * one is dropped.
     */
    @Property(tries = 6, seed = "211")
    void oldHeartbeatsReachEveryControllerAsALeaderBegins(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = twoIdleMachines(seed);
        FakeAgent agent = agentOfType(cluster, "large");
        for (int i = 0; i < 5 && agent.heartbeatTarget().equals(cluster.leader()); i++) {
            // Its process restarts at once and keeps its machines, while another controller becomes the leader.
            cluster.crash(cluster.leader(), Duration.ofMillis(30));
            cluster.run(Duration.ofSeconds(3));
        }
        cluster.network.recordCopies(1, "/agent/beat");
        cluster.run(Duration.ofSeconds(4));
        cluster.network.recordCopies(0, "/agent/beat");
        TestUser cancelled = cluster.submit(3, "red", Priority.HIGH, 1, 20, Duration.ofSeconds(60), onType("large"));
        cluster.run(seconds(1.5));
        assertThat(cluster.invariants.runningTasks()).isEqualTo(1);
        cluster.network.blockOutbound(agent.name(), true);
        cluster.network.cut("*", agent.address());
        cancelled.cancel();
        cluster.submit(4, "red", Priority.HIGH, 1, 14, Duration.ofSeconds(40), onType("small"));
        cluster.onNewLeader(leader -> cluster.network.replayCopies(cluster.userAddresses()));
        cluster.run(seconds(0.5));
        if (seed % 2 == 0) {
            cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofMillis(300)));
        } else {
            cluster.crash(cluster.leader(), Duration.ofSeconds(20));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * Jobs are cancelled from before one controller's membership expires until they have other owners, and the watch
     * is late. Guards the version of a job's record as a condition of the transaction that changes its owner: without
     * it that would undo a cancellation.
     */
    @Property(tries = 6, seed = "212")
    void jobsAreCancelledDuringFailoverOfTheirOwner(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 36; i++) {
            cluster.submit(i, i % 4 == 0 ? "red" : "blue", Priority.NORMAL, 1, 2, Duration.ofSeconds(150));
        }
        cluster.run(Duration.ofSeconds(25));
        String crashed = cluster.nodes().get(seed % 3);
        cluster.crash(crashed, Duration.ofSeconds(30));
        cluster.network.delayResponses("/watch", seconds(0.6));
        List<TestUser> users = cluster.users();
        for (int i = 0; i < 36; i++) {
            cluster.after(seconds(4.7 + 0.08 * i + seed % 80 / 1000.0), users.get(i)::cancel);
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * Both teams use all of their quota, more of their jobs wait, and jobs are cancelled whose machines are
     * partitioned or hang, while the leader changes. Guards that a cancelled job counts against the quota until each
     * of its tasks has certainly ended.
     */
    @Property(tries = 6, seed = "213")
    void allTeamsAtQuotaWithCancellationsOnUnresponsiveMachinesAndFailover(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 11; i++) {
            cluster.submit(
                    i, i <= 3 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, seconds(120));
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.runningTasks())
                .as("both teams are at their quota")
                .isEqualTo(22);
        for (int i = 12; i <= 23; i++) {
            cluster.submit(
                    i, i % 3 == 0 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, seconds(20));
        }
        cluster.run(Duration.ofSeconds(2));
        Duration span = seconds(6 + seed % 26);
        List<FakeAgent> agents = cluster.cloud.agents();
        for (int i = 0; i < agents.size(); i += 2) {
            FakeAgent agent = agents.get(i);
            if (i % 4 == 0) {
                partition(cluster, agent, span);
            } else {
                agent.hang(span);
            }
        }
        cluster.users().subList(0, 8).forEach(TestUser::cancel);
        cluster.after(seconds(seed % 4), () -> cluster.crash(cluster.leader(), seconds(0.2 + seed % 9)));
        assertRecoversAfter(cluster, span.plusSeconds(20));
    }

    /** A job whose start command is on its way for 2 to 16 s. */
    private static TestUser submitWithDelayedStart(SimulatedCluster cluster) {
        cluster.network.delayRequests(1, "/do");
        TestUser user = cluster.submit(3, "red", Priority.HIGH, 1, 20, Duration.ofSeconds(60), onType("large"));
        cluster.run(seconds(1));
        cluster.network.delayRequests(0, "/do");
        return user;
    }

    /**
     * The start of a task is delayed, its controller crashes or loses the store, the job is cancelled, and another job
     * gets its resources; then the start arrives. Guards the new fencing token of a failover, and that a task is taken
     * for ended only once the agent has confirmed that token.
     */
    @Property(tries = 9, seed = "214")
    void aStartOfAFormerControllerArrivesAfterCommandsOfTheNewOne(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = twoIdleMachines(seed);
        TestUser cancelled = submitWithDelayedStart(cluster);
        String commanding = agentOfType(cluster, "large").heartbeatTarget();
        if (seed % 3 == 0) {
            cutFromStore(cluster, commanding, Duration.ofSeconds(30));
        } else {
            cluster.crash(commanding, seed % 3 == 1 ? Duration.ofMillis(200) : Duration.ofSeconds(20));
        }
        cancelled.cancel();
        cluster.submit(4, "red", Priority.HIGH, 1, 14, Duration.ofSeconds(40), onType("small"));
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * The same without a failover: the controller times out waiting for the response, and the start arrives later.
     * Guards the new fencing token after a start without a response.
     */
    @Property(tries = 6, seed = "218")
    void aStartArrivesAfterItsSenderTimedOut(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = twoIdleMachines(seed);
        TestUser cancelled = submitWithDelayedStart(cluster);
        cancelled.cancel();
        cluster.submit(4, "red", Priority.HIGH, 1, 14, Duration.ofSeconds(40), onType("small"));
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * The only machine of its type, zone and kind has an inbound partition, and no other can be provisioned beside it.
     * Guards that unanswered commands make a machine unresponsive: otherwise it would never be released, and the job
     * would wait for ever.
     */
    @Property(tries = 4, seed = "215")
    void theOnlyMachineOfItsTypeHasAnInboundPartition(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 1);
        Bounds one = new Bounds(List.of("large"), "a", false, false, false);
        cluster.submit(1, "blue", Priority.HIGH, 1, 20, Duration.ofSeconds(400), one);
        cluster.run(Duration.ofSeconds(25));
        partitionInbound(cluster, agentOfType(cluster, "large"), Duration.ofDays(1));
        cluster.after(seconds(seed % 30), () -> cluster.users().forEach(TestUser::cancel));
        cluster.after(Duration.ofSeconds(31), () -> cluster.submit(2, "blue", Priority.HIGH, 1, 20, seconds(10), one));
        cluster.run(Duration.ofSeconds(110));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * A controller loses the state store, where its membership expires. Guards the expiry of the membership lease by
     * the controller's own clock: by then it must have stopped to count its lease as valid, although nobody can notify
     * it.
     */
    @Property(tries = 4, seed = "216")
    void aControllerIsUnhealthyOnceItsMembershipExpired(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        String node = cluster.nodes().get(seed % 3);
        var prober = cluster.network.client("prober", cluster.time.process());
        List<Instant> readyWithoutMembership = new ArrayList<>();
        cutFromStore(cluster, node, Duration.ofSeconds(30));
        for (int i = 0; i < 1500; i++) {
            cluster.after(Duration.ofMillis(10L * i), () -> {
                boolean member = cluster.store.value(StoreKeys.member(node)) != null;
                prober.call(cluster.address(node), HttpRequest.get("/up", Duration.ofSeconds(1)), response -> {
                    if (!member && response.status() == HttpStatus.OK) {
                        readyWithoutMembership.add(cluster.time.now());
                    }
                });
            });
        }
        cluster.run(Duration.ofSeconds(15));
        assertThat(cluster.store.value(StoreKeys.member(node)))
                .as("its membership")
                .isNull();
        assertThat(readyWithoutMembership).isEmpty();
        assertRecoversAfter(cluster, Duration.ofSeconds(20));
    }

    /**
     * The leader reaches its agents and loses the state store and its peers, which reach neither those agents nor the
     * cloud; jobs are cancelled through the peers. Guards that leases are renewed only as far as cancellations are
     * known: nothing else ends the tasks of these jobs in time.
     */
    @Property(tries = 4, seed = "219")
    void aLeaderAloneReachesSomeAgents(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(200));
        String leader = cluster.leader();
        Duration span = SimulatedCluster.CANCEL.plusSeconds(20);
        cutFromStore(cluster, leader, span);
        cluster.partitionPeers(leader, true);
        for (String other : cluster.nodes()) {
            if (!other.equals(leader)) {
                cluster.network.cut(other, SimulatedCluster.cloudAddress());
                cluster.cloud.agents().forEach(agent -> cluster.network.cut(other, agent.address()));
                cluster.cloud.agents().forEach(agent -> cluster.network.cut(agent.name(), cluster.address(other)));
            }
        }
        cluster.after(
                seconds(1 + seed % 8),
                () -> cancelThrough(
                        cluster, cluster.otherNode(leader), cluster.users().subList(0, 6)));
        assertRecoversAfter(cluster, span);
    }

    /**
     * No agent reaches its controller, which is healthy otherwise. Guards that the controller to which the agents turn
     * takes over their shards: otherwise they would be declared lost with all tasks on them.
     */
    @Property(tries = 4, seed = "220")
    void noAgentReachesAnOtherwiseHealthyController(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        int started = cluster.startedTasks();
        String commanding = cluster.cloud.agents().get(0).heartbeatTarget();
        cluster.cloud.agents().forEach(agent -> {
            cluster.network.cut(agent.name(), cluster.address(commanding));
            cluster.network.cut(commanding, agent.address());
        });
        cluster.run(Duration.ofSeconds(80));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).as("none restarted").isEqualTo(started);
    }

    /**
     * Controllers and machines restart within a fraction of a second, several times, from before the crash of a leader
     * until after the election of the next one. Guards that a controller is identified by its incarnation, not by its
     * name: otherwise the machines of its former incarnation would never be commanded again.
     */
    @Property(tries = 6, seed = "217")
    void controllersAndMachinesRestartWithinAFractionOfASecond(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(50));
        submitSteadily(cluster, 9, 8);
        cluster.after(seconds(1), () -> cluster.crash(cluster.leader(), seconds(5 + seed % 6)));
        for (int i = 0; i < 12; i++) {
            int number = i;
            cluster.after(seconds(0.7 * i + seed % 60 / 100.0), () -> {
                cluster.crash(cluster.nodes().get((seed + number) % 3), Duration.ofMillis(20 + 61L * number));
                List<FakeAgent> agents = cluster.cloud.agents();
                agents.get((seed + number) % agents.size()).hang(Duration.ofMillis(100 + 70L * number));
                partition(
                        cluster,
                        agents.get((seed + 3 * number) % agents.size()),
                        Duration.ofMillis(900 - 60L * number));
            });
        }
        cluster.after(seconds(4), () -> cluster.users().subList(0, 3).forEach(TestUser::cancel));
        assertRecoversAfter(cluster, Duration.ofSeconds(15));
    }
}
