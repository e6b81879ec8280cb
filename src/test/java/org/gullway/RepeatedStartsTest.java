package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.fake.FakeAgent;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.storage.RecordCodec;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;
import org.junit.jupiter.api.Test;

/**
 * Copies of start commands that were carried out and answered before reach the machines again. No task may run on two
 * machines, and none may start again once its job is cancelled.
 */
class RepeatedStartsTest {
    private static final Duration START_OF_MACHINES = Duration.ofSeconds(15);
    /** Longer than the age of the oldest copy. */
    private static final Duration ALL_COPIES = Duration.ofSeconds(260);

    private static final String FAULTY_MACHINE = "vm-000001";

    private RepeatedStarts copies;

    private SimulatedCluster cluster(long seed, int capacity) {
        SimulatedCluster cluster = new SimulatedCluster(seed, SimulatedCluster.Setup.small(0, capacity), time -> {
            copies = new RepeatedStarts(time, RepeatedStarts.AGES);
            return copies;
        });
        copies.sendOver(cluster.network);
        cluster.run(START_OF_MACHINES);
        return cluster;
    }

    private void assertNoRuleIsBroken(SimulatedCluster cluster) {
        cluster.run(ALL_COPIES);
        assertThat(cluster.violations).isEmpty();
        assertThat(cluster.unfinished()).isEmpty();
        assertThat(cluster.users()).allSatisfy(user -> assertThat(recordOf(cluster, user))
                .as("record of a job that has ended")
                .isNull());
        assertThat(copies.answeredWith(HttpStatus.OK) + copies.answeredWith(HttpStatus.CONFLICT))
                .as("copies that reached an agent")
                .isGreaterThan(RepeatedStarts.AGES.size());
    }

    private static JsonNode recordOf(SimulatedCluster cluster, TestUser user) {
        return cluster.store.value(StoreKeys.job(user.request.id()));
    }

    /** Keeps machines from being returned as idle: no two tasks of this job fit on a small machine. */
    private static void keepMachinesInUse(SimulatedCluster cluster) {
        cluster.submit(99, "blue", Priority.HIGH, 3, 9, Duration.ofSeconds(200));
        cluster.run(START_OF_MACHINES);
    }

    /** Guards against a completed task that is forgotten and starts again after the cancellation of its job. */
    @Test
    void aCompletedTaskDoesNotStartAgainAfterTheCancellationOfItsJob() {
        SimulatedCluster cluster = cluster(1, 3);
        keepMachinesInUse(cluster);
        // More tasks than the team's limit of 64 CPUs allows at a time: the first complete while others wait.
        TestUser job = cluster.submit(1, "blue", Priority.NORMAL, 40, 4, Duration.ofSeconds(8));
        cluster.run(Duration.ofSeconds(20));
        assertThat(cluster.startedTasks()).isBetween(12, 39);
        job.cancel();
        assertNoRuleIsBroken(cluster);
        assertThat(cluster.invariants.reportedState(job.request.id())).isEqualTo("aborted");
    }

    /** The same if the job has no running task when it is cancelled, so that its record is removed at once. */
    @Test
    void aCompletedTaskDoesNotStartAgainAfterTheCancellationOfAJobWithoutRunningTasks() {
        SimulatedCluster cluster = cluster(2, 3);
        keepMachinesInUse(cluster);
        // The team's limit of 24 CPUs is enough for six tasks. The last one starts after them, and fails.
        TestUser job = cluster.submit(1, "red", Priority.NORMAL, 7, 4, Duration.ofSeconds(6));
        cluster.run(Duration.ofSeconds(9));
        cluster.setTaskFailurePredicate((machine, id) -> id.equals(job.request.id()));
        while (!recordOf(cluster, job).path("live").isEmpty()) {
            cluster.run(Duration.ofMillis(1));
        }
        assertThat(recordOf(cluster, job).path("done")).isNotEmpty();
        job.cancel();
        assertNoRuleIsBroken(cluster);
        assertThat(cluster.invariants.reportedState(job.request.id())).isEqualTo("aborted");
    }

    /** Guards against a failed or refused attempt that runs again on its machine while its task runs on another. */
    @Test
    void aFailedAttemptDoesNotRunAgainBesideItsSuccessor() {
        SimulatedCluster cluster = cluster(3, 3);
        cluster.setTaskFailurePredicate((machine, job) -> machine.equals(FAULTY_MACHINE));
        cluster.submit(1, "blue", Priority.HIGH, 12, 4, Duration.ofSeconds(20));
        TestUser cancelled = cluster.submit(2, "red", Priority.NORMAL, 5, 4, Duration.ofSeconds(20));
        cluster.run(Duration.ofSeconds(50));
        cancelled.cancel();
        cluster.setTaskFailurePredicate((machine, job) -> false);
        assertNoRuleIsBroken(cluster);
    }

    /** Guards against a refused attempt that is accepted later, when its task runs on another machine. */
    @Test
    void aRefusedAttemptDoesNotRunBesideItsSuccessor() {
        SimulatedCluster cluster = cluster(4, 3);
        JobRequest request = SimulatedJobs.array(
                1,
                "blue",
                Priority.HIGH,
                6,
                4,
                Duration.ofSeconds(150),
                new SimulatedCluster.JobConstraints(null, null, false, false, true));
        // The agents do not know the job yet, so they refuse its tasks.
        ObjectNode change = Cbor.map().put("put", StoreKeys.job(request.id()));
        change.set("v", RecordCodec.encode(JobRecord.accepted(request, null, Instant.parse("2026-11-20T06:00:00Z"))));
        ObjectNode transaction = Cbor.map();
        transaction.putArray("then").add(change);
        List<HttpResponse> responses = new ArrayList<>();
        cluster.store.handle(
                new SimulatedNetwork.Message("setup", "POST", "/commit", "", Cbor.encode(transaction), responses::add));
        cluster.run(Duration.ofSeconds(2));
        assertThat(cluster.startedTasks()).isZero();
        cluster.submit(1, "blue", Priority.HIGH, 6, 4, Duration.ofSeconds(150));
        assertNoRuleIsBroken(cluster);
    }

    /** Guards against a stopped attempt that runs again while its task, which was moved, runs on another machine. */
    @Test
    void aPreemptedAttemptDoesNotRunAgainBesideItsSuccessor() {
        SimulatedCluster cluster = cluster(5, 1);
        // With a capacity of 1 there is one such machine in each zone, and the job fills one of them.
        TestUser moved =
                cluster.submit(1, "blue", Priority.IDLE, 2, 8, Duration.ofMinutes(2), smallOnDemandMachineIn(null));
        cluster.run(Duration.ofSeconds(25));
        String machine = recordOf(cluster, moved).path("live").path(0).path(0).asText();
        String zone = cluster.cloud.agent(machine).kind().zone();
        cluster.submit(2, "red", Priority.HIGH, 1, 16, Duration.ofMinutes(1), smallOnDemandMachineIn(zone));
        cluster.run(Duration.ofSeconds(40));
        assertThat(cluster.startedTasks())
                .as("starts, at least one of them after the preemption")
                .isGreaterThanOrEqualTo(4);
        assertNoRuleIsBroken(cluster);
    }

    private static SimulatedCluster.JobConstraints smallOnDemandMachineIn(String zone) {
        return new SimulatedCluster.JobConstraints(List.of("small"), zone, false, false, false);
    }

    /** Guards against copies of a former controller's starts, or of those of a controller that is back at once. */
    @Property(tries = 12, seed = "561")
    void controllersThatCrashAndReturn(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed, 3);
        submitJobs(cluster);
        for (int i = 0; i < 4; i++) {
            cluster.run(Duration.ofSeconds(4 + seed % 5));
            String node = i % 2 == 0 ? cluster.leader() : cluster.nodes().get((seed + i) % 3);
            Duration absence = seed % 2 == 0 ? Duration.ofMillis(200 + seed % 700) : Duration.ofSeconds(9);
            if (node != null) {
                cluster.crash(node, absence);
            }
            cluster.users().get((seed + 3 * i) % cluster.users().size()).cancel();
        }
        assertNoRuleIsBroken(cluster);
    }

    /** Guards against copies that reach a machine which stood still for a moment, or whose lease has expired. */
    @Property(tries = 12, seed = "562")
    void machinesThatStandStillOrBeginANewEpoch(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = cluster(seed, 3);
        submitJobs(cluster);
        for (int i = 0; i < 4; i++) {
            cluster.run(Duration.ofSeconds(3 + seed % 6));
            List<FakeAgent> agents = cluster.cloud.agents();
            for (int j = i % 2; j < agents.size(); j += 2) {
                agents.get(j).hang(i % 2 == 0 ? Duration.ofMillis(300 + seed % 600) : Duration.ofSeconds(24));
            }
            cluster.users().get((seed + 5 * i) % cluster.users().size()).cancel();
        }
        assertNoRuleIsBroken(cluster);
    }

    /** All troubles of the tests above at random, with lost responses, so that starts are also sent twice. */
    @Property(tries = 25, seed = "563")
    void anyMixOfTroubles(@ForAll @IntRange(min = 1, max = 100_000) int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = cluster(seed, 2 + seed % 2);
        cluster.setTaskFailurePredicate((machine, job) -> machine.equals(FAULTY_MACHINE) && seed % 3 == 0);
        submitJobs(cluster);
        cluster.run(START_OF_MACHINES);
        for (int i = 0; i < 12; i++) {
            cluster.run(Duration.ofMillis(500 + random.nextInt(6000)));
            List<FakeAgent> agents = cluster.cloud.agents();
            FakeAgent agent = agents.get(random.nextInt(agents.size()));
            String node = cluster.nodes().get(random.nextInt(3));
            switch (random.nextInt(7)) {
                case 0 -> cluster.crash(node, Duration.ofMillis(100 + random.nextInt(1000)));
                case 1 -> cluster.crash(node, Duration.ofSeconds(6 + random.nextInt(10)));
                case 2 -> agent.hang(Duration.ofMillis(100 + random.nextInt(1000)));
                case 3 -> agent.hang(Duration.ofSeconds(18 + random.nextInt(8)));
                case 4 -> {
                    cluster.network.dropResponses(node, true);
                    cluster.after(Duration.ofSeconds(3), () -> cluster.network.dropResponses(node, false));
                }
                default -> cluster.users()
                        .get(random.nextInt(cluster.users().size()))
                        .cancel();
            }
        }
        cluster.setTaskFailurePredicate((machine, job) -> false);
        assertNoRuleIsBroken(cluster);
    }

    private static void submitJobs(SimulatedCluster cluster) {
        Map<Integer, Priority> priorities = Map.of(0, Priority.HIGH, 1, Priority.NORMAL, 2, Priority.IDLE);
        for (int i = 1; i <= 9; i++) {
            Duration runTime = Duration.ofSeconds(4 + 7 * (i % 4));
            cluster.submit(i, i % 3 == 0 ? "red" : "blue", priorities.get(i % 3), 1 + 2 * (i % 4), 4, runTime);
        }
    }
}
