package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests which machines are drained or declared lost because of their agents' messages. */
class MachineLifecycleTest extends AgentReconcilerFixture {
    /**
     * The agent's heartbeats arrive, but it answers no command. No more tasks are placed on the machine, and it is
     * declared lost.
     */
    @Test
    void aMachineWithAnInboundPartitionIsDeclaredLost() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.SELF), 11);
        reconciler.onHeartbeat(heartbeat(1, 1, null), now);
        assertThat(reconciler.schedulableMachines(now)).hasSize(1);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4), "vm-1");
        for (int i = 0; i < 5; i++) {
            reconciler.onHeartbeat(heartbeat(1, 1, null), now);
            sendHeartbeatWithoutTasks("vm-2");
            Instant sentAt = now;
            now = now.plusSeconds(3);
            reconciler.commandsDue(sentAt).stream()
                    .filter(batch -> batch.machine().equals("vm-1"))
                    .forEach(batch -> reconciler.onCommandOutcome(batch, CommandOutcome.UNKNOWN, now));
            assertThat(reconciler.schedulableMachines(now))
                    .extracting(MachineRecord::name)
                    .doesNotContain("vm-1");
            planAndCommit();
        }
        assertThat(lifecycle("vm-1")).isEqualTo(MachineLifecycle.LOST);
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        assertThat(clusterState.job("run-000001").livePlacements())
                .as("the task is placed again only when the machine is gone")
                .hasSize(1);
    }

    @Test
    void stopsTasksInTimeToSaveCheckpointsAndDeclaresTheMachineLostAfterTheSpotNotice() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        JobRequest template = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        JobRequest withCheckpoints = new JobRequest(
                template.id(),
                template.jobClass(),
                template.team(),
                template.shape(),
                template.priority(),
                1,
                4,
                0,
                4,
                template.image(),
                template.imageGb(),
                null,
                null,
                false,
                false,
                true,
                template.estimatedRunTime(),
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                null);
        place(withCheckpoints, "vm-1");
        TaskStatus running = new TaskStatus(TASK, Count.ONE, Phase.RUNNING, null, false);
        reconciler.onHeartbeat(heartbeat(1, 1, Duration.ofSeconds(15), running), now);
        planAndCommit();
        assertThat(clusterState.machine("vm-1").isSchedulable()).isFalse();
        assertThat(clusterState.job("run-000001").livePlacements().get(0).stopping())
                .isFalse();
        now = now.plusSeconds(10);
        reconciler.onHeartbeat(heartbeat(1, 1, Duration.ofSeconds(5), running), now);
        planAndCommit();
        assertThat(clusterState.job("run-000001").livePlacements().get(0).stopping())
                .isTrue();
        now = now.plusSeconds(6);
        planAndCommit();
        assertThat(lifecycle("vm-1")).isEqualTo(MachineLifecycle.LOST);
    }

    /** Failure detection restarts when a lost lease is regained, but the cancellation limit of a job runs on. */
    @Test
    void losingTheLeaseDoesNotExtendTheCancellationLimit() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request, "vm-1");
        cancel(request.id(), TestFixtures.WALL_CLOCK_TIME.minusSeconds(29));
        clusterState.advanceTo(Count.of(revision));
        reconciler.onLeaseStatus(false, now);
        reconciler.onLeaseStatus(true, now);
        planAndCommit();
        assertThat(lifecycle("vm-1")).isEqualTo(MachineLifecycle.ACTIVE);
        cancel(request.id(), TestFixtures.WALL_CLOCK_TIME.minusSeconds(31));
        planAndCommit();
        assertThat(lifecycle("vm-1"))
                .as("a second cancellation does not change the time of the first one")
                .isEqualTo(MachineLifecycle.ACTIVE);
        Transaction later = new Transaction(
                clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME.plusSeconds(2));
        reconciler.plan(later, TestFixtures.leaderContext(now));
        assertThat(later.machine("vm-1").lifecycle()).isEqualTo(MachineLifecycle.LOST);
    }

    /** The task has ended and only its record is not updated yet, which is no reason to release the machine. */
    @Test
    void aMachineWhoseCancelledTaskIsConfirmedGoneIsKept() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request, "vm-1");
        cancel(request.id(), TestFixtures.WALL_CLOCK_TIME.minusSeconds(35));
        clusterState.advanceTo(Count.of(revision));
        reconciler.onHeartbeat(
                heartbeat(1, 1, null, new TaskStatus(TASK, Count.ONE, Phase.ENDED, Cause.STOPPED, false)), now);
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        reconciler.plan(transaction, TestFixtures.leaderContext(now));
        assertThat(transaction.machine("vm-1").lifecycle()).isEqualTo(MachineLifecycle.ACTIVE);
    }

    /**
     * Two misconfigured jobs fail on all machines. Two other jobs that fail on only one machine show that it is faulty.
     */
    @Test
    void jobsThatFailOnEveryMachineDoNotMakeMachinesFaulty() {
        for (int machine = 1; machine <= 3; machine++) {
            TestFixtures.put(
                    clusterState, TestFixtures.machine("vm-" + machine, "large", TestFixtures.SELF), 9 + machine);
        }
        for (int job = 1; job <= 2; job++) {
            String id = "run-00000" + job;
            place(TestFixtures.request(id, "red", Priority.NORMAL, 6, 4), "vm-1", "vm-2", "vm-3");
        }
        for (int machine = 1; machine <= 3; machine++) {
            failTasks("vm-" + machine, machine - 1, "run-000001", "run-000002");
        }
        planAndCommit();
        assertThat(clusterState.machines()).extracting(MachineRecord::lifecycle).containsOnly(MachineLifecycle.ACTIVE);
        // The users cancel the failing jobs. The jobs still do not count against the machines.
        clusterState.remove(StoreKeys.job("run-000001"), Count.of(++revision));
        clusterState.remove(StoreKeys.job("run-000002"), Count.of(++revision));
        clusterState.advanceTo(Count.of(revision));
        planAndCommit();
        assertThat(clusterState.machines()).extracting(MachineRecord::lifecycle).containsOnly(MachineLifecycle.ACTIVE);
        for (int job = 3; job <= 4; job++) {
            String id = "run-00000" + job;
            place(TestFixtures.request(id, "red", Priority.NORMAL, 6, 4), "vm-2");
        }
        failTasks("vm-2", 0, "run-000003", "run-000004");
        planAndCommit();
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.DRAINING);
        assertThat(lifecycle("vm-1")).isEqualTo(MachineLifecycle.ACTIVE);
    }
}
