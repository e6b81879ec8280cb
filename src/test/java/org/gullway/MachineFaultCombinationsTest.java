package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.assertRecoversAfter;
import static org.gullway.FaultScenarios.clusterWithRunningJobs;
import static org.gullway.FaultScenarios.partition;
import static org.gullway.FaultScenarios.partitionInbound;
import static org.gullway.FaultScenarios.seconds;
import static org.gullway.FaultScenarios.submitSteadily;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.SimulatedCluster.JobConstraints;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.Priority;

/**
 * Combinations of machines that terminate, hang or are partitioned with other faults and cancellations. The times vary
 * with the seed.
 */
class MachineFaultCombinationsTest {
    private static final Duration LONG_RUN_TIME = Duration.ofSeconds(200);

    /**
     * A team uses its whole quota, and more of its jobs wait. Some machines are partitioned, the leader crashes, and
     * jobs are cancelled.
     */
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

    /**
     * Heartbeats arrive out of order, including heartbeats of an earlier agent epoch or that list an earlier attempt of
     * a task.
     */
    @Property(tries = 6, seed = "108")
    void heartbeatsOfEarlierAgentEpochsArriveAfterNewerOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, Duration.ofSeconds(50));
        cluster.network.duplicateLate(
                0.9, "/agent/beat", SimulatedCluster.AGENT_LEASE.multipliedBy(2), cluster.publicAddresses());
        cluster.cloud.agents().stream().limit(3).forEach(agent -> {
            cluster.after(Duration.ofSeconds(4), () -> cluster.network.blockOutbound(agent.name(), true));
            cluster.after(
                    Duration.ofSeconds(4).plus(SimulatedCluster.AGENT_LEASE).plusMillis(500),
                    () -> cluster.network.blockOutbound(agent.name(), false));
        });
        // Jobs of high priority preempt other tasks, so that one machine runs several attempts of a task.
        submitSteadily(cluster, 9, 12);
        cluster.after(Duration.ofSeconds(30), () -> cluster.crash(cluster.leader(), Duration.ofMillis(200)));
        assertRecoversAfter(cluster, Duration.ofSeconds(70));
    }

    /** Some machines hang for up to 11 s while commands or their responses are in flight, and then resume. */
    @Property(tries = 6, seed = "111")
    void machinesHangWithCommandsInFlightAndResume(@ForAll @IntRange(min = 1, max = 1000) int seed) {
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

    /**
     * Machines with tasks of cancelled jobs hang for 70 s, beyond their lease of 20 s and the cancellation limit of
     * 40 s.
     */
    @Property(tries = 6, seed = "112")
    void machinesWithCancelledTasksHangBeyondTheirLease(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        cluster.users().subList(0, 6).forEach(TestUser::cancel);
        cluster.run(Duration.ofMillis(seed % 20));
        cluster.cloud.agents().forEach(agent -> agent.hang(SimulatedCluster.CANCELLATION_LIMIT.plusSeconds(30)));
        submitSteadily(cluster, 9, 8);
        assertRecoversAfter(cluster, Duration.ofSeconds(80));
    }

    /** Agents cannot send requests to any controller, while commands still reach them. */
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

    /** A zone with agents and a controller is partitioned for longer than an agent lease, and jobs are cancelled. */
    @Property(tries = 6, seed = "123")
    void zonePartitionLongerThanAnAgentLeaseWithCancellations(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithRunningJobs(seed, LONG_RUN_TIME);
        String zone = seed % 2 == 0 ? "a" : "b";
        Duration duration = SimulatedCluster.AGENT_LEASE.plusSeconds(2 + seed % 40);
        cluster.setZonePartitioned(zone, true);
        cluster.after(duration, () -> cluster.setZonePartitioned(zone, false));
        submitSteadily(cluster, 9, 6);
        cluster.after(seconds(seed % 20), () -> cluster.users().subList(0, 4).forEach(TestUser::cancel));
        cluster.after(duration, () -> cluster.crash(cluster.nodes().get(seed % 3), Duration.ofSeconds(1)));
        assertRecoversAfter(cluster, duration.plusSeconds(5));
    }

    /**
     * Starts jobs with zone constraints. Then machines in one zone terminate or are partitioned, spot machines are
     * reclaimed, and the leader crashes. All jobs must finish.
     */
    private static void assertZoneConstrainedJobsFinish(int seed, List<Priority> priorities) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        List<JobConstraints> constraints = List.of(
                JobConstraints.in("a"),
                JobConstraints.SINGLE_ZONE,
                JobConstraints.SPREAD,
                new JobConstraints(List.of("large"), null, true, false, false),
                new JobConstraints(List.of("small"), "b", false, false, true));
        for (int i = 1; i <= 10; i++) {
            cluster.submit(
                    i,
                    i % 3 == 0 ? "red" : "blue",
                    priorities.get(i % 2),
                    5,
                    4,
                    Duration.ofSeconds(25),
                    constraints.get(i % 5));
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.invariants.runningTasks()).isPositive();
        String zone = seed % 2 == 0 ? "a" : "b";
        cluster.cloud.agents().stream()
                .filter(agent -> agent.kind().zone().equals(zone))
                .limit(2)
                .forEach(FakeAgent::terminate);
        cluster.after(Duration.ofSeconds(4), () -> cluster.cloud.agents().stream()
                .filter(agent -> agent.kind().zone().equals(zone))
                .limit(2)
                .forEach(agent -> partition(cluster, agent, Duration.ofSeconds(30))));
        cluster.after(Duration.ofSeconds(6), () -> cluster.cloud.agents().stream()
                .filter(agent -> agent.kind().spot())
                .limit(2)
                .forEach(cluster.cloud::reclaimSpot));
        cluster.after(Duration.ofSeconds(9), () -> cluster.crash(cluster.leader(), Duration.ofSeconds(1)));
        assertRecoversAfter(cluster, Duration.ofSeconds(45));
    }

    /** Reserved jobs with zone constraints lose machines to termination, partitions and spot reclaims. */
    @Property(tries = 6, seed = "105")
    void reservedJobsWithZoneConstraintsLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertZoneConstrainedJobsFinish(seed, List.of(Priority.PROD, Priority.HIGH));
    }

    /** Best-effort jobs with zone constraints lose machines to termination, partitions and spot reclaims. */
    @Property(tries = 6, seed = "125")
    void bestEffortJobsWithZoneConstraintsLoseMachines(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        assertZoneConstrainedJobsFinish(seed, List.of(Priority.NORMAL, Priority.IDLE));
    }
}
