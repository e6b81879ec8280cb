package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;
import static org.gullway.FaultScenarios.assertFinishesWithin;
import static org.gullway.FaultScenarios.clusterWithGuestTeam;
import static org.gullway.FaultScenarios.submitInBothTeams;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/**
 * Scenarios with a fixed sequence of faults, or with extreme load, at times that vary with the seed.
 * {@link SimulatedScenariosTest} combines faults at random.
 */
class FaultsTest {
    private static SimulatedCluster clusterWithJobs(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 8; i++) {
            int number = i;
            cluster.after(
                    Duration.ofMillis(200L * i),
                    () -> cluster.submit(
                            number,
                            number % 2 == 0 ? "red" : "blue",
                            number % 3 == 0 ? Priority.HIGH : Priority.NORMAL,
                            5,
                            4,
                            Duration.ofSeconds(12 + number)));
        }
        cluster.run(Duration.ofSeconds(18));
        assertThat(cluster.startedTasks()).isPositive();
        return cluster;
    }

    /**
     * Neither responses nor commands reach an agent, while its heartbeats still arrive. Its lease expires again and
     * again, so its agent epoch increases. The machine must be released although it sends heartbeats.
     */
    @Property(tries = 6, seed = "21")
    void aMachineWithAnInboundPartitionIsReleased(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        FakeAgent partitioned = cluster.cloud.agents().get(0);
        cluster.network.dropResponses(partitioned.name(), true);
        cluster.network.cut("*", partitioned.address());
        cluster.after(
                Duration.ofSeconds(1), () -> cluster.submit(9, "blue", Priority.HIGH, 16, 4, Duration.ofSeconds(20)));
        assertFinishesWithin(cluster, Duration.ofSeconds(150));
        assertThat(cluster.cloud.agent(partitioned.name()))
                .as("agent of the released machine")
                .isNull();
    }

    /**
     * Guards against an unforeseen exception that costs the whole scheduling cycle. The exception is that of a call to
     * one agent; the commands to other machines that are due in the same cycle must be sent nevertheless.
     */
    @Test
    void exceptionOfACommandToOneMachineDoesNotAffectOtherMachines() {
        SimulatedCluster cluster = clusterWithJobs(1);
        cluster.run(Duration.ofSeconds(60));
        List<FakeAgent> agents = cluster.cloud.agents();
        FakeAgent unreachable = agents.get(0);
        cluster.network.observe(throwingOnCallsTo(unreachable.address()));
        String otherZone = unreachable.kind().zone().equals("a") ? "b" : "a";
        List<TestUser> inOtherZone = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            cluster.submit(
                    20 + i,
                    "blue",
                    Priority.HIGH,
                    3,
                    4,
                    Duration.ofSeconds(5),
                    inZone(unreachable.kind().zone()));
            inOtherZone.add(
                    cluster.submit(30 + i, "red", Priority.HIGH, 2, 4, Duration.ofSeconds(5), inZone(otherZone)));
        }
        int exceptions = runPastExceptions(cluster, Duration.ofSeconds(60));
        assertThat(inOtherZone).allSatisfy(user -> assertThat(cluster.invariants.reportedState(user.request.id()))
                .isEqualTo("done"));
        assertThat(exceptions).as("exceptions that reached the event loop").isZero();
    }

    /** A listener that throws when a request to the address is sent, so that the call of the HTTP client throws. */
    private static SimulatedNetwork.TrafficListener throwingOnCallsTo(String throwingAddress) {
        return new SimulatedNetwork.TrafficListener() {
            @Override
            public void sent(String from, String address, HttpRequest request) {
                if (address.equals(throwingAddress)) {
                    throw new IllegalStateException("expected test failure of a call to " + address);
                }
            }

            @Override
            public void completed(String from, String address, HttpResponse response) {}
        };
    }

    private static SimulatedCluster.JobConstraints inZone(String zone) {
        return new SimulatedCluster.JobConstraints(null, zone, false, false, true);
    }

    /** Runs the cluster, whose event loops go on after an exception like those of real processes. */
    private static int runPastExceptions(SimulatedCluster cluster, Duration span) {
        Instant end = cluster.time.now().plus(span);
        int exceptions = 0;
        while (cluster.time.now().isBefore(end)) {
            if (catchThrowable(() -> cluster.time.runUntil(end)) != null) {
                exceptions++;
            }
        }
        return exceptions;
    }

    /**
     * Copies of heartbeats arrive up to three lease durations late. All controllers have restarted in between, so they
     * do not know of any newer heartbeats.
     */
    @Property(tries = 6, seed = "22")
    void lateHeartbeatCopiesReachRestartedControllers(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        cluster.network.duplicateLate(
                0.8, "/agent/beat", SimulatedCluster.AGENT_LEASE.multipliedBy(3), cluster.publicAddresses());
        for (int at : List.of(4, 15, 40)) {
            cluster.after(Duration.ofSeconds(at), () -> {
                cluster.nodes().forEach(node -> cluster.crash(node, Duration.ofMillis(300)));
                cluster.cloud.agents().stream().limit(1).forEach(FakeAgent::terminate);
            });
        }
        for (int i = 9; i < 15; i++) {
            int number = i;
            cluster.after(Duration.ofSeconds(5L * (i - 8)), () -> {
                cluster.submit(
                        number, "blue", number % 2 == 0 ? Priority.HIGH : Priority.IDLE, 6, 8, Duration.ofSeconds(9));
                cluster.after(
                        Duration.ofSeconds(7),
                        () -> cluster.users().get(number - 1).cancel());
            });
        }
        assertFinishesWithin(cluster, Duration.ofMinutes(4));
    }

    /**
     * A controller reaches agents, but neither the state store nor the other controllers. It must stop renewing leases
     * based on its own clock, so that its agents send their heartbeats to the other controllers.
     */
    @Property(tries = 6, seed = "23")
    void aControllerReachesOnlyAgents(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        String isolated = cluster.nodes().get(seed % 3);
        cluster.network.cut(isolated, SimulatedCluster.storeAddress());
        for (String other : cluster.nodes()) {
            cluster.network.cut(isolated, cluster.peerAddress(other));
            cluster.network.cut(other, cluster.peerAddress(isolated));
        }
        cluster.after(
                Duration.ofSeconds(3), () -> cluster.submit(9, "blue", Priority.HIGH, 8, 4, Duration.ofSeconds(10)));
        cluster.after(Duration.ofSeconds(70), cluster::endFaults);
        assertFinishesWithin(cluster, Duration.ofSeconds(200));
    }

    /**
     * A zone is partitioned for longer than an agent lease. The controller in the zone renews the leases of the agents
     * there, and the other controllers do not declare the machines lost, so no task is restarted. The partition ends
     * 12 s before the cancellation limit, because a task whose job was cancelled outside the zone must have ended by
     * that limit. The 12 s are the age of the known cancellations (2 s), the longest heartbeat interval (3 s with
     * jitter, rounded up to 4 s) and the time in which an agent whose lease is no longer renewed tries the other
     * controllers (6 s).
     */
    @Property(tries = 6, seed = "26")
    void tasksInAPartitionedZoneAreNotRestarted(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 6; i++) {
            cluster.submit(i, i % 2 == 0 ? "red" : "blue", Priority.NORMAL, 2, 4, Duration.ofSeconds(55 + i));
        }
        cluster.run(Duration.ofSeconds(25));
        assertThat(cluster.startedTasks()).isEqualTo(12);
        cluster.setZonePartitioned("b", true);
        cluster.run(SimulatedCluster.CANCELLATION_LIMIT.minusSeconds(12));
        cluster.setZonePartitioned("b", false);
        assertFinishesWithin(cluster, Duration.ofSeconds(100));
        assertThat(cluster.startedTasks()).as("started tasks, none restarted").isEqualTo(12);
    }

    /**
     * Zone b is partitioned for 70 s, and all jobs are cancelled 9 s after the partition begins. The controllers
     * outside the zone cannot reach the agents and must release the machines, so that the tasks end within the
     * cancellation limit.
     */
    @Property(tries = 6, seed = "27")
    void cancelledTasksInAPartitionedZoneEndInTime(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        for (int i = 1; i <= 6; i++) {
            cluster.submit(i, i % 2 == 0 ? "red" : "blue", Priority.NORMAL, 2, 4, Duration.ofSeconds(200));
        }
        cluster.run(Duration.ofSeconds(25));
        cluster.setZonePartitioned("b", true);
        cluster.after(Duration.ofSeconds(9), () -> cluster.users().forEach(TestUser::cancel));
        cluster.after(Duration.ofSeconds(70), () -> cluster.setZonePartitioned("b", false));
        assertFinishesWithin(cluster, Duration.ofSeconds(150));
    }

    /** Controllers crash nine times within 2 s, each for less than 60 ms, also during a leader election. */
    @Property(tries = 6, seed = "24")
    void repeatedShortCrashesDuringAnElection(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        for (int i = 0; i < 9; i++) {
            String node = cluster.nodes().get((seed + i * (1 + seed % 2)) % 3);
            cluster.after(Duration.ofMillis(230L * i), () -> cluster.crash(node, Duration.ofMillis(3 + seed % 50)));
        }
        cluster.after(
                Duration.ofSeconds(1), () -> cluster.submit(9, "blue", Priority.HIGH, 8, 4, Duration.ofSeconds(10)));
        cluster.after(Duration.ofSeconds(5), cluster::endFaults);
        assertFinishesWithin(cluster, Duration.ofSeconds(150));
    }

    /**
     * Under a steady load of small tasks, the jobs with the largest tasks start within four minutes, and at least half
     * of the jobs of each team and of each job class finish.
     */
    @Property(tries = 4, seed = "25")
    void largeJobsStartUnderSteadyLoadOfSmallOnes(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 1);
        for (int i = 1; i <= 180; i++) {
            int number = i;
            boolean large = number % 30 == 0;
            cluster.after(
                    Duration.ofMillis(2000L * i),
                    () -> cluster.submit(
                            number,
                            large || number % 4 != 1 ? "blue" : "red",
                            Priority.NORMAL,
                            large ? 6 : 4,
                            large ? 16 : 4,
                            Duration.ofSeconds(large ? 20 : 18)));
        }
        cluster.run(Duration.ofMinutes(13));
        assertThat(cluster.violations).isEmpty();
        List<TestUser> large = cluster.users().stream()
                .filter(user -> user.request.cpus() == 16)
                .toList();
        assertThat(large).hasSize(6).allSatisfy(user -> assertThat(user.timeToFirstStart())
                .isNotNull()
                .isLessThan(Duration.ofMinutes(4)));
        for (String teamOrJobClass : List.of("red", "blue", "render", "survey")) {
            List<TestUser> all = cluster.users().stream()
                    .filter(user -> user.request.team().equals(teamOrJobClass)
                            || user.request.jobClass().equals(teamOrJobClass))
                    .toList();
            assertThat(2 * all.stream().filter(TestUser::isFinished).count())
                    .as("twice the finished jobs of %s", teamOrJobClass)
                    .isGreaterThanOrEqualTo(all.size())
                    .isPositive();
        }
        assertThat(large.stream().filter(TestUser::isFinished).count()).isGreaterThanOrEqualTo(3);
    }

    /**
     * A team without a guaranteed quota submits an array of 600 tasks, a job of 20 large tasks and 90 one-task jobs,
     * all with priority IDLE (the scavenger class). The jobs of the other teams must start within 40 s, and all jobs
     * must finish.
     */
    @Property(tries = 3, seed = "28")
    void aTeamWithoutGuaranteedQuotaNeitherStarvesOthersNorIsStarved(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithGuestTeam(seed, 3);
        cluster.submit(1, "guest", Priority.IDLE, 600, 1, Duration.ofSeconds(4));
        cluster.submit(2, "guest", Priority.IDLE, 20, 8, Duration.ofSeconds(40));
        for (int i = 10; i < 100; i++) {
            int number = i;
            cluster.after(
                    Duration.ofMillis(300L * i),
                    () -> cluster.submit(number, "guest", Priority.IDLE, 1, 1, Duration.ofSeconds(5)));
        }
        submitInBothTeams(cluster, 200, 30, Duration.ofSeconds(2));
        cluster.run(Duration.ofSeconds(75));
        List<TestUser> others = cluster.users().stream()
                .filter(u -> !u.request.team().equals("guest"))
                .toList();
        assertThat(others).hasSize(30);
        assertThat(others)
                .allSatisfy(
                        user -> assertThat(user.timeToFirstStart()).isNotNull().isLessThan(Duration.ofSeconds(40)));
        cluster.endFaults();
        assertFinishesWithin(cluster, Duration.ofMinutes(5));
    }

    /**
     * The leader executes nothing for 1.5 to 38.5 s, which can exceed its membership lease by far, while clocks go on.
     * Meanwhile the other controllers take over, and jobs are submitted and cancelled. When the former leader resumes,
     * it runs all overdue timers at once, based on its outdated cluster state.
     */
    @Property(tries = 12, seed = "29")
    void aFrozenLeaderResumesWithOutdatedState(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithJobs(seed);
        String leader = cluster.leader();
        Duration span = Duration.ofMillis(1500 + seed * 37 % 40_000);
        cluster.after(Duration.ofMillis(seed % 700), () -> cluster.freeze(leader, span));
        for (int i = 9; i < 15; i++) {
            int number = i;
            cluster.after(Duration.ofSeconds(3L * (i - 9)), () -> {
                cluster.submit(
                        number,
                        number % 2 == 0 ? "red" : "blue",
                        number % 3 == 0 ? Priority.HIGH : Priority.NORMAL,
                        4,
                        4,
                        Duration.ofSeconds(15));
                cluster.users().get(number - 9).cancel();
            });
        }
        for (int i = 0; i < 40; i++) {
            cluster.after(Duration.ofMillis(1100L * i), () -> cluster.users().forEach(TestUser::queryAllControllers));
        }
        cluster.after(span.plusSeconds(2), cluster::endFaults);
        assertFinishesWithin(cluster, Duration.ofSeconds(220));
    }
}
