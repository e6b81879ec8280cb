package org.gullway.coordination.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

class ReservedSchedulerTest {
    private final ClusterState clusterState = TestFixtures.clusterState();
    private final ReservedScheduler reservedScheduler = new ReservedScheduler(new SchedulingContext(
            clusterState,
            TestFixtures.constraints(),
            TestFixtures.quotas(),
            new JobBackoff(),
            new DeadlinePolicy(List.of())));

    private Transaction newTransaction() {
        return new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
    }

    private void accept(String id, String team, Priority priority, int tasks, double cpus, long version) {
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, team, priority, tasks, cpus), null, TestFixtures.WALL_CLOCK_TIME),
                Count.of(version));
    }

    private Transaction schedule() {
        Transaction transaction = newTransaction();
        reservedScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH));
        return transaction;
    }

    @Test
    void prefersTheMachineWithTheFewestFreeCpus() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "small", TestFixtures.PEER), 11);
        accept("run-000001", "red", Priority.HIGH, 1, 4, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements())
                .extracting(Placement::machine)
                .containsExactly("vm-2");
        assertThat(transaction.conditions()).contains(StoreKeys.job("run-000001"), StoreKeys.member("perch-0"));
    }

    @Test
    void prefersAMachineThatHasTheImage() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "small", TestFixtures.PEER), 11);
        JobRecord first = JobRecord.accepted(
                TestFixtures.request("run-000009", "red", Priority.HIGH, 2, 4), null, TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job("run-000009"),
                TestFixtures.placed(first, TestFixtures.WALL_CLOCK_TIME, "vm-1"),
                Count.of(12));
        accept("run-000001", "red", Priority.HIGH, 1, 4, 13);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements())
                .extracting(Placement::machine)
                .containsExactly("vm-1");
    }

    @Test
    void staysWithinTheTeamsQuota() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.SELF), 11);
        accept("run-000001", "red", Priority.HIGH, 20, 4, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(8);
        assertThat(transaction.changes()).doesNotContainKey(StoreKeys.CORDONED);
    }

    @Test
    void cordonsMachinesWhileReservedJobsWait() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "small", TestFixtures.SELF), 10);
        accept("run-000001", "red", Priority.HIGH, 6, 4, 12);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000001").livePlacements()).hasSize(4);
        assertThat(transaction.changes()).containsEntry(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-1")));
    }

    /** Guards against starvation: small tasks would otherwise take all released resources before a large task. */
    @Test
    void cordonsAMachineForTheLargeTaskOfAStalledBestEffortJob() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "small", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 11);
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 32),
                        "perch-1",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(160)),
                Count.of(12));
        Transaction transaction = schedule();
        assertThat(transaction.changes()).containsEntry(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-2")));
    }

    /** Guards against a transaction that both ends a job and places tasks, which would run after the job ended. */
    @Test
    void doesNotPlaceAJobThatTheSameTransactionCancels() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        accept("run-000001", "red", Priority.HIGH, 2, 4, 12);
        Transaction transaction = newTransaction();
        transaction.putJob(clusterState.job("run-000001").withCancellation(TestFixtures.WALL_CLOCK_TIME));
        reservedScheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH));
        assertThat(transaction.job("run-000001")).isNull();
        assertThat(transaction.changes().get(StoreKeys.finalState("run-000001")))
                .isInstanceOf(FinalState.class);
    }

    @Test
    void preemptsTheBestEffortTaskThatLosesLeast() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "small", TestFixtures.SELF), 10);
        JobRecord smallTasks = JobRecord.accepted(
                TestFixtures.request("run-000008", "blue", Priority.NORMAL, 2, 4),
                "perch-0",
                TestFixtures.WALL_CLOCK_TIME);
        smallTasks = TestFixtures.placed(
                TestFixtures.placed(smallTasks, TestFixtures.WALL_CLOCK_TIME.minusSeconds(60), "vm-1"),
                TestFixtures.WALL_CLOCK_TIME.minusSeconds(5),
                "vm-1");
        JobRecord largeTask = TestFixtures.placed(
                JobRecord.accepted(
                        TestFixtures.request("run-000009", "blue", Priority.NORMAL, 1, 8),
                        "perch-0",
                        TestFixtures.WALL_CLOCK_TIME),
                TestFixtures.WALL_CLOCK_TIME.minusSeconds(30),
                "vm-1");
        clusterState.put(StoreKeys.job("run-000008"), smallTasks, Count.of(12));
        clusterState.put(StoreKeys.job("run-000009"), largeTask, Count.of(13));
        accept("run-000001", "red", Priority.HIGH, 1, 4, 14);
        Transaction transaction = schedule();
        assertThat(transaction.job("run-000008").livePlacements())
                .extracting(Placement::stopping)
                .containsExactly(false, true);
        assertThat(transaction.job("run-000009").livePlacements())
                .extracting(Placement::stopping)
                .containsExactly(false);
        assertThat(transaction.changes()).containsEntry(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-1")));

        TestFixtures.commit(clusterState, transaction, 20);
        Transaction next = newTransaction();
        reservedScheduler.plan(next, TestFixtures.leaderContext(Instant.EPOCH.plusSeconds(1)));
        assertThat(next.isEmpty())
                .as("no second task is preempted for the same waiting task")
                .isTrue();
    }
}
