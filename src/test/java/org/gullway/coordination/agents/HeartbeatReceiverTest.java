package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** Tests how heartbeats are answered, and which attempts an agent may forget. */
class HeartbeatReceiverTest extends AgentReconcilerFixture {
    /** Sends a heartbeat that must be accepted, and returns the commands in the response. */
    private List<AgentCommand> acceptedCommands(Heartbeat heartbeat) {
        return ((HeartbeatResponse.Accepted) reconciler.onHeartbeat(heartbeat, now)).commands();
    }

    /**
     * A heartbeat of a machine that is not on record may be an old duplicate. Only responses and listings of the cloud
     * provider put a machine on record.
     */
    @Test
    void aHeartbeatAloneDoesNotPutAMachineOnRecord() {
        assertThat(reconciler.onHeartbeat(heartbeat(1, 1, null), now))
                .isEqualTo(new HeartbeatResponse.Accepted(Count.ONE, List.of(), false));
        assertThat(planAndCommit().isEmpty()).isTrue();
        assertThat(reconciler.schedulableMachines(now)).isEmpty();
    }

    @Test
    void redirectsEveryOtherReroutedHeartbeatAndTakesOverTheShardUnderAHigherFencingToken() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 10);
        assertThat(reconciler.onHeartbeat(heartbeat(1, 1, null), now))
                .isEqualTo(new HeartbeatResponse.Redirect("perch-1"));
        now = now.plusSeconds(5);
        assertThat(reconciler.onHeartbeat(heartbeat(1, 1, null), now))
                .as("its lease is renewed until the shard is taken over")
                .isEqualTo(new HeartbeatResponse.Accepted(Count.ONE, List.of(), true));
        now = now.plusSeconds(3);
        assertThat(reconciler.onHeartbeat(heartbeat(1, 1, null), now))
                .as("the agent must not stay with a controller that does not command its machine")
                .isEqualTo(new HeartbeatResponse.Redirect("perch-1"));
        planAndCommit();
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(2));
        assertThat(clusterState.machine("vm-1").fencingToken()).isEqualTo(Count.of(2));
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
    }

    /** A duplicate start would run a forgotten attempt again. */
    @Test
    void anAgentMayForgetAStoppedAttemptOnlyUnderAHigherFencingToken() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TaskStatus ended = new TaskStatus(TASK, Count.ONE, Phase.ENDED, Cause.STOPPED, false);
        TaskStatus done = new TaskStatus(new TaskId("run-000002", 0), Count.ONE, Phase.ENDED, Cause.DONE, false);
        reconciler.onHeartbeat(heartbeat(1, 1, null, ended, done), now);
        assertThat(acceptedCommands(heartbeat(1, 1, null, ended, done)))
                .containsExactly(AgentCommand.forget(done.task(), Count.ONE));
        clusterState.put(StoreKeys.FENCING_TOKEN, new FencingToken(Count.of(2)), Count.of(++revision));
        assertThat(acceptedCommands(heartbeat(1, 2, null, ended)))
                .containsExactly(AgentCommand.forget(TASK, Count.ONE));
    }

    /** A duplicate start would start a completed task again, also after the cancellation of its job. */
    @Test
    void anAgentMayForgetACompletedAttemptOnlyOnceItsJobIsDoneOrUnderAHigherFencingToken() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 4);
        clusterState.put(
                StoreKeys.job(request.id()),
                JobRecord.accepted(request, "perch-0", TestFixtures.WALL_CLOCK_TIME),
                Count.of(++revision));
        TaskStatus done = new TaskStatus(TASK, Count.ONE, Phase.ENDED, Cause.DONE, false);
        reconciler.onHeartbeat(heartbeat(1, 1, null, done), now);
        assertThat(acceptedCommands(heartbeat(1, 1, null, done)))
                .as("the job may still be cancelled")
                .isEmpty();
        cancel(request.id(), TestFixtures.WALL_CLOCK_TIME);
        clusterState.remove(StoreKeys.job(request.id()), Count.of(++revision));
        assertThat(acceptedCommands(heartbeat(1, 1, null, done)))
                .as("the job was cancelled")
                .isEmpty();
        clusterState.put(StoreKeys.FENCING_TOKEN, new FencingToken(Count.of(2)), Count.of(++revision));
        assertThat(acceptedCommands(heartbeat(1, 2, null, done))).containsExactly(AgentCommand.forget(TASK, Count.ONE));
    }

    @Test
    void anOlderHeartbeatChangesNothing() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 4), "vm-1");
        Heartbeat older = heartbeat(1, 1, null, new TaskStatus(TASK, Count.ONE, Phase.ENDED, Cause.ERROR, false));
        reconciler.onHeartbeat(heartbeat(1, 1, null, new TaskStatus(TASK, Count.ONE, Phase.RUNNING, null, false)), now);
        reconciler.onHeartbeat(older, now);
        planAndCommit();
        assertThat(clusterState.job("run-000001").livePlacements()).hasSize(1);
    }

    /** Command batches may be lost while heartbeats get through, and another controller may command the machine. */
    @Test
    void everyResponseThatRenewsALeaseStopsCancelledTasks() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request, "vm-1");
        cancel(request.id(), TestFixtures.WALL_CLOCK_TIME);
        clusterState.advanceTo(Count.of(revision));
        AgentCommand stop = AgentCommand.stop(TASK, Count.ONE, Duration.ZERO);
        TaskStatus running = new TaskStatus(TASK, Count.ONE, Phase.RUNNING, null, false);
        assertThat(acceptedCommands(heartbeat(1, 1, null, running))).contains(stop);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), ++revision);
        reconciler.onHeartbeat(heartbeat(1, 1, null, running), now);
        assertThat(acceptedCommands(heartbeat(1, 1, null, running)))
                .as("an agent that cannot reach the controller of its machine")
                .contains(stop);
        clusterState.remove(StoreKeys.shard("g-vm-1"), Count.of(++revision));
        assertThat(acceptedCommands(heartbeat(1, 1, null, running)))
                .as("a machine that is not on record")
                .contains(stop);
    }
}
