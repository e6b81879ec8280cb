package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests when agents are reconciled and which commands they are sent. */
class CommandDispatcherTest extends AgentReconcilerFixture {
    @Test
    void recordsAnAgentEpochBeforeStartingTasksInIt() {
        TestFixtures.put(
                clusterState,
                MachineRecord.booting(
                        "vm-1", "large", "a", true, TestFixtures.WALL_CLOCK_TIME, TestFixtures.SELF, Count.ONE),
                10);
        assertThat(reconciler.onHeartbeat(heartbeat(1, 0, null), now)).isInstanceOf(HeartbeatResponse.Accepted.class);
        assertThat(reconciler.commandsDue(now)).isEmpty();
        planAndCommit();
        assertThat(clusterState.machine("vm-1").agentEpoch()).isEqualTo(Count.of(1));
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4), "vm-1");
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(batch.commands())
                    .as("a probe asks the agent to confirm the fencing token first")
                    .isEmpty();
            reconciler.onCommandResponse(heartbeat(1, 1, null), now);
            reconciler.onCommandOutcome(batch, CommandOutcome.ANSWERED, now);
        });
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(batch.hasStarts()).isTrue();
            assertThat(batch.fencingToken()).isEqualTo(Count.of(1));
        });
    }

    /** An agent is not probed while its new agent epoch is not on record yet, however often its tasks change. */
    @Test
    void doesNotProbeAnAgentWhoseNewEpochIsNotOnRecord() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        reconciler.onHeartbeat(heartbeat(2, 1, null), now);
        for (int i = 0; i < 20; i++) {
            now = now.plusMillis(50);
            reconciler.onHeartbeat(
                    heartbeat(2, 1, null, new TaskStatus(TASK, Count.of(i), Phase.RUNNING, null, false)), now);
            assertThat(reconciler.commandsDue(now)).isEmpty();
        }
    }

    /**
     * After a start with unknown outcome the fencing token rises. Once the agent confirms it, the start can no longer
     * arrive.
     */
    @Test
    void raisesTheFencingTokenAfterAStartWithUnknownOutcome() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        reconciler.onHeartbeat(heartbeat(1, 1, null), now);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4), "vm-1");
        CommandBatch start = reconciler.commandsDue(now).get(0);
        reconciler.onCommandOutcome(start, CommandOutcome.UNKNOWN, now);
        planAndCommit();
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(2));
        now = now.plusSeconds(1);
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> assertThat(batch.commands())
                .isEmpty());
    }

    /**
     * The cost of a cycle depends on the number of changes: unchanged heartbeats from 1000 agents make no agent
     * due for reconciliation.
     */
    @Test
    void reconcilesOnlyAgentsWhoseStateHasChanged() {
        int machines = 1000;
        for (int i = 1; i <= machines; i++) {
            TestFixtures.put(clusterState, TestFixtures.machine("vm-" + i, "large", TestFixtures.SELF), ++revision);
            sendHeartbeatWithoutTasks("vm-" + i);
        }
        planAndCommit();
        long before = reconciler.polledWakeups();
        for (int cycle = 0; cycle < 50; cycle++) {
            now = now.plusMillis(60);
            for (int i = 1 + cycle * 20; i <= (cycle + 1) * 20; i++) {
                sendHeartbeatWithoutTasks("vm-" + i);
            }
            assertThat(reconciler.commandsDue(now)).isEmpty();
        }
        assertThat(reconciler.polledWakeups() - before)
                .as("polled wake-ups of unchanged agents")
                .isZero();
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4), "vm-1");
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> assertThat(batch.hasStarts())
                .isTrue());
        assertThat(reconciler.polledWakeups() - before).isLessThanOrEqualTo(2);
    }
}
