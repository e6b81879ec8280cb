package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.cancelThrough;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.partition;
import static org.gullway.FaultScenarios.partitionFromStore;
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
import org.gullway.SimulatedCluster.JobConstraints;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpStatus;

/**
 * Failover of machine shards, jobs and the leadership, combined with delayed messages, cancellations or unresponsive
 * machines.
 */
class FailoverFaultsTest {
    private static JobConstraints onType(String type) {
        return new JobConstraints(List.of(type), null, false, false, true);
    }

    private static FakeAgent agentOfType(SimulatedCluster cluster, String type) {
        return cluster.cloud.agents().stream()
                .filter(agent -> agent.kind().type().equals(type))
                .findFirst()
                .orElseThrow();
    }

    /** Starts a cluster with two idle machines, one of each type. */
    private static SimulatedCluster clusterWithTwoIdleMachines(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 1);
        cluster.submit(1, "blue", Priority.HIGH, 1, 20, Duration.ofSeconds(5), onType("large"));
        cluster.submit(2, "blue", Priority.HIGH, 1, 14, Duration.ofSeconds(5), onType("small"));
        cluster.run(Duration.ofSeconds(25));
        return cluster;
    }

    /**
     * A task runs on a machine that becomes unresponsive, its job is cancelled, and another job of the team waits for
     * its quota. When a new leader is elected, every controller gets copies of heartbeats from before the start of the
     * task, which do not list the task. They must not be taken as evidence that the task has ended. If all controllers
     * crashed (even seeds), a task counts as ended only once the agent has confirmed the fencing token of the failover.
     * If only the leader crashed (odd seeds), a heartbeat older than the newest one is dropped.
     */
    @Property(tries = 6, seed = "211")
    void oldHeartbeatsReachEveryControllerWhenALeaderIsElected(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithTwoIdleMachines(seed);
        FakeAgent agent = agentOfType(cluster, "large");
        for (int i = 0; i < 5 && agent.heartbeatTarget().equals(cluster.leader()); i++) {
            // The leader restarts after 30 ms and keeps its machines, while another controller is elected leader.
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
        cluster.onNewLeader(leader -> cluster.network.replayCopies(cluster.publicAddresses()));
        cluster.run(seconds(0.5));
        if (seed % 2 == 0) {
            cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofMillis(300)));
        } else {
            cluster.crash(cluster.leader(), Duration.ofSeconds(20));
        }
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * A controller crashes, and jobs are cancelled from before its membership expires until other controllers own its
     * jobs, while watch responses are delayed. The transaction that changes the owner of a job requires that the
     * version of the job's record is unchanged. Without this condition, the transaction would revert a cancellation.
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
     * Both teams use their whole quota, and more of their jobs wait. Jobs are cancelled while some of their machines
     * are partitioned or hang, and the leader crashes. A cancelled job must count against the quota until each of its
     * tasks is known to have ended. Otherwise, a team would exceed its quota.
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
                .as("running tasks, which use the quota of both teams")
                .isEqualTo(22);
        for (int i = 12; i <= 23; i++) {
            cluster.submit(
                    i, i % 3 == 0 ? "red" : "blue", i % 2 == 0 ? Priority.HIGH : Priority.NORMAL, 2, 4, seconds(20));
        }
        cluster.run(Duration.ofSeconds(2));
        Duration duration = seconds(6 + seed % 26);
        List<FakeAgent> agents = cluster.cloud.agents();
        for (int i = 0; i < agents.size(); i += 2) {
            FakeAgent agent = agents.get(i);
            if (i % 4 == 0) {
                partition(cluster, agent, duration);
            } else {
                agent.hang(duration);
            }
        }
        cluster.users().subList(0, 8).forEach(TestUser::cancel);
        cluster.after(seconds(seed % 4), () -> cluster.crash(cluster.leader(), seconds(0.2 + seed % 9)));
        assertRecoversAfter(cluster, duration.plusSeconds(20));
    }

    /** Submits a job whose start command arrives 2 to 16 s late. */
    private static TestUser submitWithDelayedStart(SimulatedCluster cluster) {
        cluster.network.delayRequests(1, "/do");
        TestUser user = cluster.submit(3, "red", Priority.HIGH, 1, 20, Duration.ofSeconds(60), onType("large"));
        cluster.run(seconds(1));
        cluster.network.delayRequests(0, "/do");
        return user;
    }

    /**
     * The start command of a task is delayed, the controller that sent it crashes or cannot reach the state store, the
     * job is cancelled, and another job of the team waits for its quota. Then the start command arrives. The failover
     * raises the fencing token, and the task counts as ended only once the agent has confirmed the new token.
     * Otherwise, the late start command would run a cancelled task in addition to the other job.
     */
    @Property(tries = 9, seed = "214")
    void aStartCommandOfTheFormerControllerArrivesAfterTheFailover(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithTwoIdleMachines(seed);
        TestUser cancelled = submitWithDelayedStart(cluster);
        String commandingController = agentOfType(cluster, "large").heartbeatTarget();
        if (seed % 3 == 0) {
            partitionFromStore(cluster, commandingController, Duration.ofSeconds(30));
        } else {
            cluster.crash(commandingController, seed % 3 == 1 ? Duration.ofMillis(200) : Duration.ofSeconds(20));
        }
        cancelled.cancel();
        cluster.submit(4, "red", Priority.HIGH, 1, 14, Duration.ofSeconds(40), onType("small"));
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * The start command of a task is delayed, the request times out, the job is cancelled, and then the start command
     * arrives, without a failover. The controller raises the fencing token after a start command without a response, so
     * that the agent rejects the late command.
     */
    @Property(tries = 6, seed = "218")
    void aStartCommandArrivesAfterItsRequestTimedOut(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithTwoIdleMachines(seed);
        TestUser cancelled = submitWithDelayedStart(cluster);
        cancelled.cancel();
        cluster.submit(4, "red", Priority.HIGH, 1, 14, Duration.ofSeconds(40), onType("small"));
        assertRecoversAfter(cluster, Duration.ofSeconds(40));
    }

    /**
     * The only machine that a job can use has an inbound partition, and the cloud provider has no other machine of that
     * type and zone. Unanswered commands must make the machine unresponsive although its heartbeats arrive. Otherwise,
     * it would never be released, and the job would wait forever.
     */
    @Property(tries = 4, seed = "215")
    void theOnlyMachineOfItsTypeHasAnInboundPartition(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 1);
        JobConstraints constraints = new JobConstraints(List.of("large"), "a", false, false, false);
        cluster.submit(1, "blue", Priority.HIGH, 1, 20, Duration.ofSeconds(400), constraints);
        cluster.run(Duration.ofSeconds(25));
        partitionInbound(cluster, agentOfType(cluster, "large"), Duration.ofDays(1));
        cluster.after(seconds(seed % 30), () -> cluster.users().forEach(TestUser::cancel));
        cluster.after(
                Duration.ofSeconds(31),
                () -> cluster.submit(2, "blue", Priority.HIGH, 1, 20, seconds(10), constraints));
        cluster.run(Duration.ofSeconds(110));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
    }

    /**
     * A controller cannot reach the state store, where its membership expires. The controller must fail its health
     * checks by then, based on its own clock, since the state store cannot notify it of the expiry.
     */
    @Property(tries = 4, seed = "216")
    void aControllerFailsHealthChecksOnceItsMembershipHasExpired(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        String node = cluster.nodes().get(seed % 3);
        var prober = cluster.network.client("prober", cluster.time.newProcess());
        List<Instant> healthyWithoutMembership = new ArrayList<>();
        partitionFromStore(cluster, node, Duration.ofSeconds(30));
        for (int i = 0; i < 1500; i++) {
            cluster.after(Duration.ofMillis(10L * i), () -> {
                boolean member = cluster.store.value(StoreKeys.member(node)) != null;
                prober.call(cluster.address(node), HttpRequest.get("/up", Duration.ofSeconds(1)), response -> {
                    if (!member && response.status() == HttpStatus.OK) {
                        healthyWithoutMembership.add(cluster.time.now());
                    }
                });
            });
        }
        cluster.run(Duration.ofSeconds(15));
        assertThat(cluster.store.value(StoreKeys.member(node)))
                .as("member key of the partitioned controller")
                .isNull();
        assertThat(healthyWithoutMembership).isEmpty();
        assertRecoversAfter(cluster, Duration.ofSeconds(20));
    }

    /**
     * The leader reaches the agents, but neither the state store nor its peers. The peers reach neither the agents nor
     * the cloud provider. Jobs are cancelled through a peer. The leader must not renew an agent's lease once its view
     * of the cancellations is outdated, since cancelled tasks can then end in time only by the expiry of the lease.
     */
    @Property(tries = 4, seed = "219")
    void onlyAPartitionedLeaderReachesTheAgents(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(200));
        String leader = cluster.leader();
        Duration duration = SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(20);
        partitionFromStore(cluster, leader, duration);
        cluster.setPeersPartitioned(leader, true);
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
        assertRecoversAfter(cluster, duration);
    }

    /**
     * Agents and the controller that commands their machines cannot reach each other; otherwise this controller is
     * healthy. The controller that gets the rerouted heartbeats must take over the machine shards. Otherwise, the
     * machines would be declared lost, and their tasks restarted.
     */
    @Property(tries = 4, seed = "220")
    void agentsCannotReachAnOtherwiseHealthyController(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(60));
        int started = cluster.startedTasks();
        String commandingController = cluster.cloud.agents().get(0).heartbeatTarget();
        cluster.cloud.agents().forEach(agent -> {
            cluster.network.cut(agent.name(), cluster.address(commandingController));
            cluster.network.cut(commandingController, agent.address());
        });
        cluster.run(Duration.ofSeconds(80));
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.startedTasks()).as("started tasks, none restarted").isEqualTo(started);
    }

    /**
     * The leader crashes for 5 to 10 s. Twelve times around this failover, a controller crashes, one machine hangs and
     * another one is partitioned, each for less than a second. A controller must be identified by its incarnation, not
     * by its name. Otherwise, the machines of its earlier incarnation would never be commanded again.
     */
    @Property(tries = 6, seed = "217")
    void controllersAndMachinesFailForLessThanASecondDuringAFailover(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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
