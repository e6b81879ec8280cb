package org.gullway.coordination.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
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
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.ResourceOffer;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class BestEffortQueueTest {
    private final ClusterState clusterState = TestFixtures.view();
    private final DeadlinePolicy deadlines =
            new DeadlinePolicy(List.of(new Settings.Objective("finished", "render", Duration.ofSeconds(80))));
    private final ScavengerScheduler scavengerScheduler = new ScavengerScheduler(
            clusterState, TestFixtures.constraints(), TestFixtures.quotas(), new JobBackoff(), deadlines, 0.5);
    private final BestEffortQueue bestEffortQueue = new BestEffortQueue(
            clusterState,
            TestFixtures.constraints(),
            TestFixtures.quotas(),
            new JobBackoff(),
            deadlines,
            scavengerScheduler,
            "perch-0",
            Duration.ofSeconds(3),
            new SplittableRandom(1),
            List::of,
            unused -> {});
    private final MachineRecord machine = TestFixtures.machine("vm-1", "small", TestFixtures.SELF);

    BestEffortQueueTest() {
        TestFixtures.put(clusterState, machine, 10);
    }

    private void accept(String id, String team, String owner, int tasks, long ageSeconds, long version) {
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, team, Priority.NORMAL, tasks, 4),
                        owner,
                        TestFixtures.DAY.minusSeconds(ageSeconds)),
                version);
    }

    private Transaction draft() {
        return new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY);
    }

    @Test
    void teamsTakeEqualTurns() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 9, 1, 12);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(2);
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(2);
    }

    @Test
    void aTeamWithinItsGuaranteeGoesFirst() {
        accept("run-000001", "red", "perch-0", 9, 9, 11);
        accept("run-000002", "blue", "perch-0", 4, 1, 12);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(4);
    }

    @Test
    void whatCanBeInTimeGoesBeforeWhatCanNot() {
        JobRecord begun = TestFixtures.placed(
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 5, 4),
                        "perch-0",
                        TestFixtures.DAY.minusSeconds(90)),
                TestFixtures.DAY,
                "vm-9");
        clusterState.put(
                StoreKeys.job("run-000001"),
                begun.withCompletions(Map.of(begun.livePlacements().get(0), JobRecord.AttemptOutcome.DONE)),
                11);
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(4);
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
    }

    /** Under steady pressure a late job would otherwise never begin. */
    @Test
    void aJobThatHasWaitedLongBeginsWithOneTask() {
        accept("run-000001", "red", "perch-0", 4, 110, 11);
        accept("run-000002", "red", "perch-0", 4, 5, 12);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(1);
        assertThat(transaction.job("run-000002").livePlacements()).hasSize(3);
    }

    /** The machine that the leader keeps for a large task is used by its owner, whoever commands the machine. */
    @Test
    void aJobThatHasNotBegunUsesTheMachineKeptForIt() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 11);
        clusterState.put(StoreKeys.CORDONED, new CordonedMachines(java.util.Set.of("vm-2")), 12);
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 32),
                        "perch-0",
                        TestFixtures.DAY.minusSeconds(160)),
                13);
        accept("run-000002", "blue", "perch-0", 8, 5, 14);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements())
                .extracting(Placement::machine)
                .containsExactly("vm-2");
        assertThat(transaction.job("run-000002").livePlacements())
                .extracting(Placement::machine)
                .containsOnly("vm-1");
    }

    @Test
    void usesTheRoomOfEndedAttemptsAndNoMore() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.SELF), 11);
        JobRecord small = TestFixtures.placed(
                JobRecord.accepted(
                        TestFixtures.request("run-000009", "red", Priority.NORMAL, 8, 4), "perch-0", TestFixtures.DAY),
                TestFixtures.DAY,
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2",
                "vm-2");
        clusterState.put(StoreKeys.job("run-000009"), small, 12);
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 9, 2), "perch-0", TestFixtures.DAY),
                13);
        CompletionBuffer completionBuffer = new CompletionBuffer(clusterState);
        completionBuffer.add(
                AttemptId.of(small, small.livePlacements().get(0)), JobRecord.AttemptOutcome.DONE, Instant.EPOCH);
        Transaction transaction = draft();
        completionBuffer.releaseResources(transaction);
        bestEffortQueue.schedule(transaction, () -> List.of(machine, clusterState.machine("vm-2")), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements())
                .as("4 of the limit of 32 are free")
                .hasSize(2);
        assertThat(transaction.quotaCpusUsed(StoreKeys.quotaPartition("perch-0"), "red"))
                .isEqualTo(32);
    }

    /** Machines of two zones have room; tasks are pulled one by one, and those planned before count for the zones. */
    @Test
    void tasksOfOneCommitKeepToTheZonesThatTheJobAllows() {
        MachineRecord other = TestFixtures.machine("vm-2", "small", TestFixtures.SELF);
        MachineRecord far = new MachineRecord(
                "vm-2",
                other.address(),
                "small",
                "b",
                true,
                TestFixtures.SELF,
                1,
                1,
                MachineRecord.MachineLifecycle.ACTIVE,
                other.provisionedAt());
        TestFixtures.put(clusterState, far, 11);
        JobRequest r = TestFixtures.request("run-000001", "red", Priority.NORMAL, 8, 4);
        clusterState.put(
                StoreKeys.job(r.id()), JobRecord.accepted(zones(r, true, false), "perch-0", TestFixtures.DAY), 12);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine, far), Instant.EPOCH);
        assertThat(transaction.job(r.id()).livePlacements()).as("in one zone").hasSize(4);
        assertThat(transaction.job(r.id()).livePlacements().stream()
                        .map(Placement::machine)
                        .distinct())
                .hasSize(1);

        JobRequest s = TestFixtures.request("run-000002", "red", Priority.NORMAL, 5, 4);
        clusterState.remove(StoreKeys.job(r.id()), 13);
        clusterState.put(
                StoreKeys.job(s.id()), JobRecord.accepted(zones(s, false, true), "perch-0", TestFixtures.DAY), 14);
        transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine, far), Instant.EPOCH);
        assertThat(transaction.job(s.id()).livePlacements())
                .as("spread over two")
                .hasSize(5);
        assertThat(transaction.job(s.id()).livePlacements().stream()
                        .filter(p -> p.machine().equals("vm-2"))
                        .count())
                .isBetween(2L, 3L);
    }

    private static JobRequest zones(JobRequest r, boolean oneZone, boolean spread) {
        return new JobRequest(
                r.id(),
                r.jobClass(),
                r.team(),
                r.shape(),
                r.priority(),
                r.tasks(),
                r.cpus(),
                r.gpus(),
                r.memoryGb(),
                r.image(),
                r.imageGb(),
                r.machineTypes(),
                r.zone(),
                oneZone,
                spread,
                r.spotAllowed(),
                r.estimatedRunTime(),
                r.checkpointInterval(),
                r.checkpointTime(),
                r.deadline());
    }

    @Test
    void nothingStartsOnAClosedMachine() {
        clusterState.put(StoreKeys.CORDONED, new CordonedMachines(java.util.Set.of("vm-1")), 20);
        accept("run-000001", "red", "perch-0", 4, 5, 11);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.isEmpty()).isTrue();
    }

    @Test
    void roomThatFitsNothingHereIsOfferedToAPeerAndUsedThere() {
        accept("run-000001", "red", "perch-1", 2, 5, 11);
        Transaction transaction = draft();
        List<BestEffortQueue.OutgoingOffers> offers =
                bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.isEmpty()).isTrue();
        assertThat(offers)
                .containsExactly(new BestEffortQueue.OutgoingOffers(
                        "perch-1", List.of(new ResourceOffer("vm-1", 1, List.of("perch-0")))));

        BestEffortQueue peer = new BestEffortQueue(
                clusterState,
                TestFixtures.constraints(),
                TestFixtures.quotas(),
                new JobBackoff(),
                deadlines,
                scavengerScheduler,
                "perch-1",
                Duration.ofSeconds(3),
                new SplittableRandom(2),
                List::of,
                unused -> {});
        peer.onOffers(offers.get(0).offers(), Instant.EPOCH);
        Transaction there = new Transaction(clusterState, TestFixtures.PEER, TestFixtures.LIMITS, TestFixtures.DAY);
        peer.schedule(there, List::of, Instant.EPOCH);
        assertThat(there.job("run-000001").livePlacements()).hasSize(2);
        assertThat(there.conditions()).contains(StoreKeys.member("perch-1"), StoreKeys.job("run-000001"));
    }

    private void acceptIdle(String id, int tasks, long version) {
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, "blue", Priority.IDLE, tasks, 4),
                        "perch-0",
                        TestFixtures.DAY.minusSeconds(50)),
                version);
    }

    @Test
    void idleWorkTakesOnlyWhatIsLeftOver() {
        acceptIdle("run-000001", 9, 11);
        Transaction transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements())
                .as("nobody else waits")
                .hasSize(4);

        JobRecord urgent = JobRecord.accepted(
                TestFixtures.request("run-000009", "red", Priority.HIGH, 2, 8), null, TestFixtures.DAY);
        clusterState.put(
                StoreKeys.job("run-000009"), TestFixtures.placed(urgent, TestFixtures.DAY, "vm-9", "vm-9"), 12);
        transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements())
                .as("8 of the 16 are kept for urgent work")
                .hasSize(2);

        // Somebody's best-effort job waits and may run: the room is not for idle work, whoever finds it.
        accept("run-000002", "red", "perch-1", 1, 5, 13);
        transaction = draft();
        bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.job("run-000001").livePlacements()).isEmpty();
    }

    /** The leader stops as many idle tasks as the waiting job could use, and no others. */
    @Test
    void idleWorkMakesWayForBestEffortWorkOfAHigherRank() {
        acceptIdle("run-000001", 9, 11);
        JobRecord held = clusterState.job("run-000001");
        clusterState.put(
                StoreKeys.job("run-000001"), TestFixtures.placed(held, TestFixtures.DAY, "vm-1", "vm-1", "vm-1"), 12);
        JobRecord normal = JobRecord.accepted(
                TestFixtures.request("run-000002", "red", Priority.NORMAL, 1, 4), "perch-1", TestFixtures.DAY);
        clusterState.put(StoreKeys.job("run-000002"), TestFixtures.placed(normal, TestFixtures.DAY, "vm-1"), 13);
        Transaction transaction = draft();
        scavengerScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH));
        assertThat(transaction.isEmpty()).as("nobody waits").isTrue();
        accept("run-000003", "red", "perch-1", 2, 5, 14);
        transaction = draft();
        scavengerScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH.plusSeconds(2)));
        assertThat(transaction.job("run-000001").livePlacements().stream()
                        .filter(Placement::stopping)
                        .count())
                .isEqualTo(2);
        assertThat(transaction.job("run-000002").livePlacements()).noneMatch(Placement::stopping);
    }
}
