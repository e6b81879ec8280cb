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
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.PeerCancellations;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

/** The limit is 40 s, its last quarter is left for the return of machines. */
class CancellationEnforcerTest {
    private static final TaskId TASK = new TaskId("run-000001", 0);

    private final ClusterState clusterState = TestFixtures.view();
    private final CancellationEnforcer cancellationEnforcer =
            new CancellationEnforcer(clusterState, Duration.ofSeconds(40));
    private final JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
    private final JobRecord placed =
            TestFixtures.placed(JobRecord.accepted(request, "perch-0", TestFixtures.DAY), TestFixtures.DAY, "vm-2");
    private Instant now = Instant.EPOCH;

    CancellationEnforcerTest() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 10);
        clusterState.put(StoreKeys.job(request.id()), placed, 20);
    }

    private void cancel() {
        clusterState.put(StoreKeys.job(request.id()), placed.withCancellation(TestFixtures.DAY), 21);
    }

    private static Heartbeat answer(long agentEpoch, TaskStatus... tasks) {
        return new Heartbeat("vm-2", "10.1.0.1:9000", "large", "a", true, agentEpoch, 1, 1, null, List.of(tasks));
    }

    private static TaskStatus task(Phase phase) {
        return new TaskStatus(TASK, 1, phase, phase == Phase.ENDED ? Cause.STOPPED : null, false);
    }

    private List<CommandBatch> later(int seconds) {
        now = now.plusSeconds(seconds);
        return cancellationEnforcer.stopsToRetry(now);
    }

    @Test
    void stopsWhatTheWorkerListsAsLiveAlsoOnceTheRecordHasEnded() {
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.RUNNING))))
                .isEmpty();
        cancel();
        AgentCommand stop = AgentCommand.stop(TASK, 1, Duration.ZERO);
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.RUNNING))))
                .containsExactly(stop);
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.SAVING))))
                .containsExactly(stop);
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.ENDED))))
                .isEmpty();
        clusterState.remove(StoreKeys.job(request.id()), 22);
        clusterState.clear();
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.FETCHING))))
                .containsExactly(stop);
    }

    /** Whoever commands the machine: this controller may be the only one that knows of the cancellation. */
    @Test
    void pressesUntilAnAnswerShowsThatTheTaskIsGone() {
        assertThat(later(1)).isEmpty();
        cancel();
        List<CommandBatch> pushes = later(1);
        assertThat(pushes).singleElement().satisfies(batch -> {
            assertThat(batch.machine()).isEqualTo("vm-2");
            assertThat(batch.fencingToken()).isEqualTo(1);
            assertThat(batch.agentEpoch()).isEqualTo(1);
            assertThat(batch.commands()).containsExactly(AgentCommand.stop(TASK, 1, Duration.ZERO));
        });
        assertThat(later(9)).as("one at a time").isEmpty();
        cancellationEnforcer.onStopOutcome(pushes.get(0), now);
        cancellationEnforcer.onCommandResponse(answer(1, task(Phase.SAVING)));
        assertThat(later(1)).hasSize(1);
        cancellationEnforcer.onStopOutcome(pushes.get(0), now);
        cancellationEnforcer.onCommandResponse(answer(1, task(Phase.ENDED)));
        assertThat(later(1)).isEmpty();
        assertThat(cancellationEnforcer.machinesToTerminate(TestFixtures.DAY.plusSeconds(39)))
                .isEmpty();
    }

    @Test
    void anAnswerOfANewerSessionShowsThatTheTaskIsGone() {
        cancel();
        cancellationEnforcer.onCommandResponse(answer(2, task(Phase.RUNNING)));
        assertThat(later(1)).isEmpty();
    }

    /** It hangs, and only the cloud can end what is there: in the last quarter of the limit, however often asked before. */
    @Test
    void aMachineThatAnswersNothingIsReturnedBeforeTheLimit() {
        cancel();
        assertThat(later(1)).hasSize(1);
        assertThat(cancellationEnforcer.machinesToTerminate(TestFixtures.DAY.plusSeconds(30)))
                .isEmpty();
        assertThat(cancellationEnforcer.machinesToTerminate(TestFixtures.DAY.plusSeconds(31)))
                .containsExactly("vm-2");
    }

    @Test
    void theRecordsCountOnceThisControllerIsEntitledAgain() {
        cancel();
        cancellationEnforcer.onCommandResponse(answer(1, task(Phase.ENDED)));
        assertThat(later(1)).isEmpty();
        cancellationEnforcer.onLeaseRegained(now);
        assertThat(later(1)).hasSize(1);
    }

    /** The peer's list counts like a record: for stops, for leases, for the limit, and for what is told on. */
    @Test
    void whatAPeerTellsCountsLikeARecordUntilTheRecordsShowIt() {
        PeerCancellations.CancelledJob job = new PeerCancellations.CancelledJob(
                request.id(),
                TestFixtures.DAY.toEpochMilli(),
                List.of(new PeerCancellations.CancelledAttempt(0, 1, "vm-2", 1)));
        assertThat(cancellationEnforcer.knownCancellations()).isEmpty();
        cancellationEnforcer.merge(job, now);
        assertThat(cancellationEnforcer.knownCancellations()).containsExactly(job);
        assertThat(cancellationEnforcer.stopCommands(answer(1, task(Phase.RUNNING))))
                .hasSize(1);
        assertThat(cancellationEnforcer.mayStillStart(clusterState.machine("vm-2"), answer(1)))
                .isTrue();
        assertThat(cancellationEnforcer.mayStillStart(clusterState.machine("vm-2"), answer(1, task(Phase.ENDED))))
                .isFalse();
        assertThat(later(1)).hasSize(1);
        assertThat(cancellationEnforcer.machinesToTerminate(TestFixtures.DAY.plusSeconds(31)))
                .containsExactly("vm-2");
        cancellationEnforcer.onLeaseRegained(now.minusSeconds(1));
        assertThat(cancellationEnforcer.knownCancellations())
                .as("the records are older than what was told")
                .containsExactly(job);
        cancellationEnforcer.onLeaseRegained(now.plusSeconds(1));
        assertThat(cancellationEnforcer.knownCancellations()).isEmpty();
    }

    @Test
    void tellsOfRecordsAndOfWhatWasReadByItself() {
        cancellationEnforcer.merge(placed, now);
        assertThat(cancellationEnforcer.knownCancellations())
                .as("not cancelled")
                .isEmpty();
        cancellationEnforcer.merge(placed.withCancellation(TestFixtures.DAY), now);
        assertThat(cancellationEnforcer.knownCancellations()).hasSize(1);
        cancel();
        assertThat(cancellationEnforcer.knownCancellations())
                .containsExactly(new PeerCancellations.CancelledJob(
                        request.id(),
                        TestFixtures.DAY.toEpochMilli(),
                        List.of(new PeerCancellations.CancelledAttempt(0, 1, "vm-2", 1))));
    }
}
