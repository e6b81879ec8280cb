package org.gullway.coordination.cancellation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.PeerCancellations;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** The cancellation limit is 40 s. Its last quarter is reserved for releasing machines. */
class CancellationEnforcerTest {
    private static final TaskId TASK = new TaskId("run-000001", 0);

    private final ClusterState clusterState = TestFixtures.clusterState();
    private final CancellationEnforcer cancellationEnforcer =
            new CancellationEnforcer(clusterState, Duration.ofSeconds(40));
    private final JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
    private final JobRecord placed = TestFixtures.placed(
            JobRecord.accepted(request, "perch-0", TestFixtures.WALL_CLOCK_TIME), TestFixtures.WALL_CLOCK_TIME, "vm-2");
    private Instant now = Instant.EPOCH;

    CancellationEnforcerTest() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 10);
        clusterState.put(StoreKeys.job(request.id()), placed, Count.of(20));
    }

    private void cancel() {
        clusterState.put(
                StoreKeys.job(request.id()), placed.withCancellation(TestFixtures.WALL_CLOCK_TIME), Count.of(21));
    }

    private static Heartbeat heartbeat(long agentEpoch, TaskStatus... tasks) {
        return new Heartbeat(
                "vm-2",
                "10.1.0.1:9000",
                "large",
                "a",
                true,
                Count.of(agentEpoch),
                Count.ONE,
                Count.ONE,
                null,
                List.of(tasks));
    }

    private static TaskStatus taskIn(Phase phase) {
        return new TaskStatus(TASK, Count.ONE, phase, phase == Phase.ENDED ? Cause.STOPPED : null, false);
    }

    private List<CommandBatch> directStopsAfter(int seconds) {
        now = now.plusSeconds(seconds);
        return cancellationEnforcer.directStopsDue(now);
    }

    @Test
    void stopsTasksThatTheAgentListsAsLiveEvenAfterTheJobRecordIsGone() {
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.RUNNING))))
                .isEmpty();
        cancel();
        AgentCommand stop = AgentCommand.stop(TASK, Count.ONE, Duration.ZERO);
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.RUNNING))))
                .containsExactly(stop);
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.SAVING))))
                .containsExactly(stop);
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.ENDED))))
                .isEmpty();
        clusterState.remove(StoreKeys.job(request.id()), Count.of(22));
        clusterState.clear();
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.FETCHING))))
                .containsExactly(stop);
    }

    /**
     * Direct stops are sent whichever controller commands the machine, since this one may be the only one that knows
     * the cancellation.
     */
    @Test
    void retriesStopsUntilAResponseShowsThatTheTaskIsGone() {
        assertThat(directStopsAfter(1)).isEmpty();
        cancel();
        List<CommandBatch> batches = directStopsAfter(1);
        assertThat(batches).singleElement().satisfies(batch -> {
            assertThat(batch.machine()).isEqualTo("vm-2");
            assertThat(batch.fencingToken()).isEqualTo(Count.of(1));
            assertThat(batch.agentEpoch()).isEqualTo(Count.of(1));
            assertThat(batch.commands()).containsExactly(AgentCommand.stop(TASK, Count.ONE, Duration.ZERO));
        });
        assertThat(directStopsAfter(9))
                .as("at most one batch is in flight for each machine")
                .isEmpty();
        cancellationEnforcer.onDirectStopEnded(batches.get(0), now);
        cancellationEnforcer.onDirectStopResponse(heartbeat(1, taskIn(Phase.SAVING)));
        assertThat(directStopsAfter(1)).hasSize(1);
        cancellationEnforcer.onDirectStopEnded(batches.get(0), now);
        cancellationEnforcer.onDirectStopResponse(heartbeat(1, taskIn(Phase.ENDED)));
        assertThat(directStopsAfter(1)).isEmpty();
        assertThat(cancellationEnforcer.machinesToRelease(TestFixtures.WALL_CLOCK_TIME.plusSeconds(39)))
                .isEmpty();
    }

    @Test
    void aResponseFromANewerAgentEpochShowsThatTheTaskIsGone() {
        cancel();
        cancellationEnforcer.onDirectStopResponse(heartbeat(2, taskIn(Phase.RUNNING)));
        assertThat(directStopsAfter(1)).isEmpty();
    }

    /**
     * If a machine hangs, only the cloud provider can end its tasks. It is released in the last quarter of the limit,
     * however many stops were sent.
     */
    @Test
    void aMachineThatDoesNotRespondIsReleasedBeforeTheLimit() {
        cancel();
        assertThat(directStopsAfter(1)).hasSize(1);
        assertThat(cancellationEnforcer.machinesToRelease(TestFixtures.WALL_CLOCK_TIME.plusSeconds(30)))
                .isEmpty();
        assertThat(cancellationEnforcer.machinesToRelease(TestFixtures.WALL_CLOCK_TIME.plusSeconds(31)))
                .containsExactly("vm-2");
    }

    @Test
    void regainingTheLeaseDiscardsWhatDirectStopResponsesShowed() {
        cancel();
        cancellationEnforcer.onDirectStopResponse(heartbeat(1, taskIn(Phase.ENDED)));
        assertThat(directStopsAfter(1)).isEmpty();
        cancellationEnforcer.onLeaseRegained(now);
        assertThat(directStopsAfter(1)).hasSize(1);
    }

    /**
     * A cancellation from a peer's list counts like a record for stops, lease renewals, the limit, and lists sent to
     * other peers.
     */
    @Test
    void aCancellationListedByAPeerIsEnforcedUntilTheClusterStateContainsIt() {
        PeerCancellations.CancelledJob job = new PeerCancellations.CancelledJob(
                request.id(),
                TestFixtures.WALL_CLOCK_TIME.toEpochMilli(),
                List.of(new PeerCancellations.CancelledAttempt(0, Count.ONE, "vm-2", Count.ONE)));
        assertThat(cancellationEnforcer.knownCancellations()).isEmpty();
        cancellationEnforcer.add(job, now);
        assertThat(cancellationEnforcer.knownCancellations()).containsExactly(job);
        assertThat(cancellationEnforcer.stopCommands(heartbeat(1, taskIn(Phase.RUNNING))))
                .hasSize(1);
        assertThat(cancellationEnforcer.mayStillStartCancelledTask(clusterState.machine("vm-2"), heartbeat(1)))
                .isTrue();
        assertThat(cancellationEnforcer.mayStillStartCancelledTask(
                        clusterState.machine("vm-2"), heartbeat(1, taskIn(Phase.ENDED))))
                .isFalse();
        assertThat(directStopsAfter(1)).hasSize(1);
        assertThat(cancellationEnforcer.machinesToRelease(TestFixtures.WALL_CLOCK_TIME.plusSeconds(31)))
                .containsExactly("vm-2");
        cancellationEnforcer.onLeaseRegained(now.minusSeconds(1));
        assertThat(cancellationEnforcer.knownCancellations())
                .as("the cluster state is older than the list")
                .containsExactly(job);
        cancellationEnforcer.onLeaseRegained(now.plusSeconds(1));
        assertThat(cancellationEnforcer.knownCancellations()).isEmpty();
    }

    @Test
    void listsCancellationsOfTheClusterStateAndOfRecordsReadByKey() {
        cancellationEnforcer.add(placed, now);
        assertThat(cancellationEnforcer.knownCancellations())
                .as("the job is not cancelled")
                .isEmpty();
        cancellationEnforcer.add(placed.withCancellation(TestFixtures.WALL_CLOCK_TIME), now);
        assertThat(cancellationEnforcer.knownCancellations()).hasSize(1);
        cancel();
        assertThat(cancellationEnforcer.knownCancellations())
                .containsExactly(new PeerCancellations.CancelledJob(
                        request.id(),
                        TestFixtures.WALL_CLOCK_TIME.toEpochMilli(),
                        List.of(new PeerCancellations.CancelledAttempt(0, Count.ONE, "vm-2", Count.ONE))));
    }
}
