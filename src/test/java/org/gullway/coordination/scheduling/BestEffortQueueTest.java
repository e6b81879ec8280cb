package org.gullway.coordination.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.model.AttemptId;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class BestEffortQueueTest {
    private final ClusterState clusterState = TestFixtures.clusterState();
    private final DeadlinePolicy deadlines =
            new DeadlinePolicy(List.of(new Settings.Objective("finished", "render", Duration.ofSeconds(80))));
    private final ScavengerScheduler scavengerScheduler = new ScavengerScheduler(newContext(), 0.5);
    private final BestEffortQueue bestEffortQueue = new BestEffortQueue(
            newContext(),
            scavengerScheduler,
            "perch-0",
            Duration.ofSeconds(3),
            new SplittableRandom(1),
            List::of,
            unused -> {});
    private final MachineRecord machine = TestFixtures.machine("vm-1", "small", TestFixtures.SELF);

    private SchedulingContext newContext() {
        return new SchedulingContext(
                clusterState, TestFixtures.constraints(), TestFixtures.quotas(), new JobBackoff(), deadlines);
    }

    BestEffortQueueTest() {
        TestFixtures.put(clusterState, machine, 10);
    }

    /** Accepts a job, which is due at an age of 80 s and stalled above 100 s if none of its tasks is placed. */
    private void accept(String id, String team, String owner, int tasks, long ageSeconds, long version) {
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, team, Priority.NORMAL, tasks, 4),
                        owner,
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(ageSeconds)),
                Count.of(version));
    }

    private Transaction newTransaction() {
        return new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
    }

    /** Runs one scheduling cycle of the queue on one machine with 16 CPUs. */
    private Transaction schedule() {
        Transaction transaction = newTransaction();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        return transaction;
    }

    @Test
    void teamsTakeEqualTurns() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 9, 1, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(2);
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(2);
    }

    @Test
    void teamWithinItsGuaranteedQuotaIsPlacedFirst() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 4, 1, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(4);
    }

    @Test
    void jobsOnTimeArePlacedBeforeLateJobs() {
        JobRecord lateJob = TestFixtures.placed(
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 5, 4),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(90)),
                TestFixtures.WALL_CLOCK_TIME,
                "vm-9");
        clusterState.put(
                StoreKeys.job("run-000001"),
                lateJob.withoutEndedAttempts(Map.of(lateJob.livePlacements().get(0), JobRecord.AttemptOutcome.DONE)),
                Count.of(11));
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(4);
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
    }

    /** Guards against a late job that waits out {@code DeadlinePolicy.MAX_DEFERRAL} while other jobs keep arriving. */
    @Test
    void aStalledJobStartsWithOneTask() {
        accept("run-000001", "red", "perch-0", 4, 110, 11);
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(1);
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(3);
    }

    /** The owner of a stalled job uses the machine that the leader cordoned for it, even one of a peer. */
    @Test
    void aStalledJobUsesTheMachineCordonedForIt() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 11);
        clusterState.put(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-2")), Count.of(12));
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 32),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(160)),
                Count.of(13));
        accept("run-000002", "blue", "perch-0", 8, 5, 14);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements())
                .extracting(Placement::machine)
                .containsExactly("vm-2");
        assertThat(transaction.job("run-000002").livePlacements())
                .extracting(Placement::machine)
                .containsOnly("vm-1");
    }

    @Test
    void usesOnlyTheQuotaThatCompletedAttemptsReleased() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.SELF), 11);
        JobRecord runningJob = TestFixtures.placed(
                JobRecord.accepted(
                        TestFixtures.request("run-000009", "red", Priority.NORMAL, 8, 4),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME),
                TestFixtures.WALL_CLOCK_TIME,
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2");
        clusterState.put(StoreKeys.job("run-000009"), runningJob, Count.of(12));
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 9, 2),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME),
                Count.of(13));
        CompletionBuffer completionBuffer = new CompletionBuffer(clusterState);
        completionBuffer.add(
                AttemptId.of(runningJob, runningJob.livePlacements().get(0)),
                JobRecord.AttemptOutcome.DONE,
                Instant.EPOCH);
        Transaction transaction = newTransaction();
        completionBuffer.releaseResources(transaction);
        bestEffortQueue.schedule(transaction, () -> List.of(machine, clusterState.machine("vm-2")), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements())
                .as("4 CPUs of the quota of 32 are free")
                .hasSize(2);
        assertThat(transaction.quotaCpusUsed(StoreKeys.quotaPartition("perch-0"), "red"))
                .isEqualTo(32);
    }

    /** Zone constraints must also count earlier tasks of the transaction that are not in the job's record yet. */
    @Test
    void zoneConstraintsCountTasksPlannedInTheSameTransaction() {
        MachineRecord other = TestFixtures.machine("vm-2", "small", TestFixtures.SELF);
        MachineRecord machineInOtherZone = new MachineRecord(
                "vm-2",
                other.address(),
                "small",
                "b",
                true,
                TestFixtures.SELF,
                Count.ONE,
                Count.ONE,
                MachineRecord.MachineLifecycle.ACTIVE,
                other.provisionedAt());
        TestFixtures.put(clusterState, machineInOtherZone, 11);
        JobRequest singleZone = TestFixtures.request("run-000001", "red", Priority.NORMAL, 8, 4);
        clusterState.put(
                StoreKeys.job(singleZone.id()),
                JobRecord.accepted(withZones(singleZone, true, false), "perch-0", TestFixtures.WALL_CLOCK_TIME),
                Count.of(12));
        Transaction transaction = newTransaction();
        bestEffortQueue.schedule(transaction, () -> List.of(machine, machineInOtherZone), Instant.EPOCH);
        assertThat(transaction.job(singleZone.id()).livePlacements())
                .as("all tasks in one zone")
                .hasSize(4);
        assertThat(transaction.job(singleZone.id()).livePlacements().stream()
                        .map(Placement::machine)
                        .distinct())
                .hasSize(1);
        JobRequest spread = TestFixtures.request("run-000002", "red", Priority.NORMAL, 5, 4);
        clusterState.remove(StoreKeys.job(singleZone.id()), Count.of(13));
        clusterState.put(
                StoreKeys.job(spread.id()),
                JobRecord.accepted(withZones(spread, false, true), "perch-0", TestFixtures.WALL_CLOCK_TIME),
                Count.of(14));
        transaction = newTransaction();
        bestEffortQueue.schedule(transaction, () -> List.of(machine, machineInOtherZone), Instant.EPOCH);
        assertThat(transaction.job(spread.id()).livePlacements())
                .as("spread across two zones")
                .hasSize(5);
        assertThat(transaction.job(spread.id()).livePlacements().stream()
                        .filter(placement -> placement.machine().equals("vm-2"))
                        .count())
                .isBetween(2L, 3L);
    }

    private static JobRequest withZones(JobRequest request, boolean singleZone, boolean spread) {
        return new JobRequest(
                request.id(),
                request.jobClass(),
                request.team(),
                request.shape(),
                request.priority(),
                request.tasks(),
                request.cpus(),
                request.gpus(),
                request.memoryGb(),
                request.image(),
                request.imageGb(),
                request.machineTypes(),
                request.zone(),
                singleZone,
                spread,
                request.spotAllowed(),
                request.estimatedRunTime(),
                request.checkpointInterval(),
                request.checkpointTime(),
                request.deadline());
    }

    @Test
    void noTaskStartsOnACordonedMachine() {
        clusterState.put(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-1")), Count.of(20));
        accept("run-000001", "red", "perch-0", 4, 5, 11);
        Transaction transaction = schedule();
        assertThat(transaction.isEmpty()).isTrue();
    }

    private void acceptScavenger(String id, int tasks, long version) {
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, "blue", Priority.IDLE, tasks, 4),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(50)),
                Count.of(version));
    }

    @Test
    void scavengerJobsUseOnlyLeftoverResources() {
        acceptScavenger("run-000001", 9, 11);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements())
                .as("no other job waits")
                .hasSize(4);

        JobRecord reserved = JobRecord.accepted(
                TestFixtures.request("run-000009", "red", Priority.HIGH, 2, 8), null, TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job("run-000009"),
                TestFixtures.placed(reserved, TestFixtures.WALL_CLOCK_TIME, "vm-9", "vm-9"),
                Count.of(12));
        transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements())
                .as("8 of the 16 CPUs are kept free for reserved jobs")
                .hasSize(2);

        // A best-effort job of another controller waits within its quota, so no resources are left over.
        accept("run-000002", "red", "perch-1", 1, 5, 13);
        transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
    }

    /** The leader preempts as many scavenger tasks as the waiting job can use, and no tasks of other classes. */
    @Test
    void scavengerTasksArePreemptedForBestEffortJobsOfAHigherPriority() {
        acceptScavenger("run-000001", 9, 11);
        JobRecord scavenger = clusterState.job("run-000001");
        clusterState.put(
                StoreKeys.job("run-000001"),
                TestFixtures.placed(scavenger, TestFixtures.WALL_CLOCK_TIME, "vm-1", "vm-1", "vm-1"),
                Count.of(12));
        JobRecord normal = JobRecord.accepted(
                TestFixtures.request("run-000002", "red", Priority.NORMAL, 1, 4),
                "perch-1",
                TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job("run-000002"),
                TestFixtures.placed(normal, TestFixtures.WALL_CLOCK_TIME, "vm-1"),
                Count.of(13));
        Transaction transaction = newTransaction();
        scavengerScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH));
        assertThat(transaction.isEmpty()).as("no job waits").isTrue();
        accept("run-000003", "red", "perch-1", 2, 5, 14);
        transaction = newTransaction();
        scavengerScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH.plusSeconds(2)));
        assertThat(transaction.job("run-000001").livePlacements().stream()
                        .filter(Placement::stopping)
                        .count())
                .isEqualTo(2);
        assertThat(transaction.job("run-000002").livePlacements()).noneMatch(Placement::stopping);
    }
}
