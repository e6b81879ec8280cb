package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests that no agent is made to list more attempts than its heartbeat can hold. */
class ListedAttemptsTest extends AgentReconcilerFixture {
    private static final int LIMIT = MessageLimits.MAX_LISTED_ATTEMPTS;

    private static JobRequest tinyTasks(String id, int tasks) {
        return TestFixtures.request(id, "red", Priority.NORMAL, tasks, 0.001);
    }

    private void placeOnOneMachine(String id, int tasks) {
        place(tinyTasks(id, tasks), Collections.nCopies(tasks, "vm-1").toArray(String[]::new));
    }

    private static TaskStatus[] endedAttempts(String id, int count) {
        TaskStatus[] attempts = new TaskStatus[count];
        for (int i = 0; i < count; i++) {
            attempts[i] = new TaskStatus(new TaskId(id, i), Count.of(i + 1), Phase.ENDED, Cause.STOPPED, false);
        }
        return attempts;
    }

    private static long count(CommandBatch batch, AgentCommand.Kind kind) {
        return batch.commands().stream()
                .filter(command -> command.kind() == kind)
                .count();
    }

    /** Guards against starts beyond the limit if several controllers have placed attempts on the same machine. */
    @Test
    void placementsThatTheHeartbeatCannotListAreStoppedBeforeTheyStart() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        reconciler.onHeartbeat(heartbeat(1, 1, null), now);
        placeOnOneMachine("run-000001", LIMIT - 10);
        placeOnOneMachine("run-000002", 40);
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(count(batch, AgentCommand.Kind.START)).isEqualTo(LIMIT);
            reconciler.onCommandOutcome(batch, CommandOutcome.NOT_SENT, now);
        });
        planAndCommit();
        List<Placement> stopping = new ArrayList<>();
        clusterState.placementsOn("vm-1").values().stream()
                .filter(Placement::stopping)
                .forEach(stopping::add);
        assertThat(stopping).hasSize(30);
    }

    /** Guards against starts that are added to a heartbeat full of attempts which the agent may not forget yet. */
    @Test
    void startsWaitUntilEndedAttemptsAreForgottenUnderAHigherFencingToken() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        reconciler.onHeartbeat(heartbeat(1, 1, null, endedAttempts("run-000009", LIMIT - 5)), now);
        placeOnOneMachine("run-000001", 20);
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(count(batch, AgentCommand.Kind.START)).isEqualTo(5);
            assertThat(count(batch, AgentCommand.Kind.FORGET)).isZero();
            reconciler.onCommandOutcome(batch, CommandOutcome.NOT_SENT, now);
        });
        planAndCommit();
        assertThat(clusterState.fencingToken()).as("fencing token").isEqualTo(Count.of(2));
        assertThat(clusterState.placementsOn("vm-1").values()).noneMatch(Placement::stopping);
        now = now.plusSeconds(1);
        reconciler.onHeartbeat(heartbeat(1, 2, null, endedAttempts("run-000009", LIMIT - 5)), now);
        assertThat(reconciler.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(count(batch, AgentCommand.Kind.FORGET)).isEqualTo(LIMIT - 5);
            assertThat(count(batch, AgentCommand.Kind.START)).isEqualTo(20);
        });
    }

    /** Guards against tasks that are stopped because an earlier version has started more than the limit. */
    @Test
    void attemptsBeyondTheLimitThatRunAreLeftAlone() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        int tasks = LIMIT + 100;
        placeOnOneMachine("run-000001", tasks);
        TaskStatus[] running = new TaskStatus[tasks];
        for (int i = 0; i < tasks; i++) {
            running[i] = new TaskStatus(new TaskId("run-000001", i), Count.of(i + 1), Phase.RUNNING, null, false);
        }
        reconciler.onHeartbeat(heartbeat(1, 1, null, running), now);
        planAndCommit();
        now = now.plusSeconds(1);
        assertThat(reconciler.commandsDue(now)).isEmpty();
        assertThat(clusterState.placementsOn("vm-1").values()).hasSize(tasks).noneMatch(Placement::stopping);
    }
}
