package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.coordination.MachineControl.Answer;
import org.gullway.protocol.Command;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Rank;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.TaskReport.Cause;
import org.gullway.protocol.TaskReport.Phase;
import org.gullway.protocol.WorkerReport;
import org.junit.jupiter.api.Test;

class MachineControlTest {
    private static final TaskId TASK = new TaskId("run-000001", 0);

    private final ClusterView view = Samples.view();
    private final MachineControl control = new MachineControl(view, Samples.SELF, Duration.ofSeconds(3));
    private Instant now = Instant.EPOCH;
    private long sequence;
    private long revision = 100;

    MachineControlTest() {
        control.entitled(true, now);
    }

    private WorkerReport report(long session, long token, Duration notice, TaskReport... tasks) {
        return new WorkerReport("vm-1", "10.1.0.1:9000", "large", "a", true, session, ++sequence, token, notice,
                List.of(tasks));
    }

    private Draft propose() {
        Draft draft = new Draft(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
        control.propose(draft, now, Samples.DAY);
        Samples.commit(view, draft, ++revision);
        return draft;
    }

    private void place(JobRequest request) {
        view.put(Keys.job(request.id()), JobRecord.accepted(request, "perch-0", Samples.DAY)
                .placed(0, "vm-1", 1, Samples.DAY), ++revision);
    }

    @Test
    void recordsAMachineBeforeItStartsAnythingThere() {
        assertThat(control.report(report(1, 0, null), now)).isInstanceOf(Answer.Commands.class);
        place(Samples.request("run-000001", "red", Rank.NORMAL, 1, 4));
        assertThat(control.pushes(now)).isEmpty();
        propose();
        assertThat(view.machine("vm-1").controller()).isEqualTo(Samples.SELF);
        control.answered(report(1, 1, null), now);
        assertThat(control.pushes(now)).singleElement().satisfies(push -> {
            assertThat(push.starts()).isTrue();
            assertThat(push.token()).isEqualTo(1);
        });
    }

    @Test
    void sendsAWorkerBackToItsControllerOnceAndThenTakesItOverUnderAHigherEpoch() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", Samples.PEER), 10);
        assertThat(control.report(report(1, 1, null), now)).isEqualTo(new Answer.Elsewhere("perch-1"));
        now = now.plusSeconds(5);
        assertThat(control.report(report(1, 1, null), now)).isInstanceOf(Answer.Commands.class);
        propose();
        assertThat(view.epoch()).isEqualTo(2);
        assertThat(view.machine("vm-1").epoch()).isEqualTo(2);
    }

    /** A start of the former controller may still be under way until the worker has confirmed the new epoch. */
    @Test
    void recordsAnEndOnlyOnceTheFormerControllerIsFenced() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", new Incarnation("perch-2", 3)), 10);
        place(Samples.request("run-000001", "red", Rank.NORMAL, 1, 4));
        TaskReport ended = new TaskReport(TASK, 1, Phase.ENDED, Cause.STOPPED, false);
        control.report(report(1, 1, null, ended), now);
        propose();
        propose();
        assertThat(view.job("run-000001").live()).hasSize(1);
        control.answered(report(1, 2, null, ended), now);
        propose();
        assertThat(view.job("run-000001").live()).isEmpty();
        assertThat(view.job("run-000001").waiting()).isEqualTo(1);
    }

    /** After a start without an answer the epoch rises, and only its confirmation settles what became of it. */
    @Test
    void raisesTheEpochAfterAStartWithoutAnAnswer() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", Samples.SELF), 10);
        control.report(report(1, 1, null), now);
        place(Samples.request("run-000001", "red", Rank.NORMAL, 1, 4));
        MachineControl.Push push = control.pushes(now).get(0);
        control.pushEnded(push, true, true, now);
        propose();
        assertThat(view.epoch()).isEqualTo(2);
        now = now.plusSeconds(1);
        assertThat(control.pushes(now)).singleElement().satisfies(p -> assertThat(p.commands()).isEmpty());
    }

    /** A start that arrives twice would begin a forgotten attempt again. */
    @Test
    void letsAWorkerForgetAStoppedAttemptOnlyUnderAHigherEpoch() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", Samples.SELF), 10);
        TaskReport ended = new TaskReport(TASK, 1, Phase.ENDED, Cause.STOPPED, false);
        TaskReport done = new TaskReport(new TaskId("run-000002", 0), 1, Phase.ENDED, Cause.DONE, false);
        control.report(report(1, 1, null, ended, done), now);
        Answer.Commands first = (Answer.Commands) control.report(report(1, 1, null, ended, done), now);
        assertThat(first.commands()).containsExactly(Command.forget(done.task(), 1));
        view.put(Keys.EPOCH, 2L, ++revision);
        Answer.Commands second = (Answer.Commands) control.report(report(1, 2, null, ended), now);
        assertThat(second.commands()).containsExactly(Command.forget(TASK, 1));
    }

    @Test
    void anOlderReportChangesNothing() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", Samples.SELF), 10);
        place(Samples.request("run-000001", "red", Rank.NORMAL, 2, 4));
        WorkerReport late = report(1, 1, null, new TaskReport(TASK, 1, Phase.ENDED, Cause.ERROR, false));
        control.report(report(1, 1, null, new TaskReport(TASK, 1, Phase.RUNNING, null, false)), now);
        control.report(late, now);
        propose();
        assertThat(view.job("run-000001").live()).hasSize(1);
    }

    @Test
    void savesTasksBeforeAMachineIsTakenAndReturnsItThen() {
        view.put(Keys.machine("vm-1"), Samples.machine("vm-1", "large", Samples.SELF), 10);
        JobRequest r = Samples.request("run-000001", "red", Rank.NORMAL, 1, 4);
        place(new JobRequest(r.id(), r.jobClass(), r.team(), r.shape(), r.rank(), 1, 4, 0, 4, r.image(), r.imageGb(),
                null, null, false, false, true, r.estimate(), Duration.ofSeconds(20), Duration.ofSeconds(2), null));
        TaskReport running = new TaskReport(TASK, 1, Phase.RUNNING, null, false);
        control.report(report(1, 1, Duration.ofSeconds(15), running), now);
        propose();
        assertThat(view.machine("vm-1").takesTasks()).isFalse();
        assertThat(view.job("run-000001").live().get(0).stopping()).isFalse();
        now = now.plusSeconds(10);
        control.report(report(1, 1, Duration.ofSeconds(5), running), now);
        propose();
        assertThat(view.job("run-000001").live().get(0).stopping()).isTrue();
        now = now.plusSeconds(6);
        propose();
        assertThat(view.machine("vm-1").fate()).isEqualTo(MachineRecord.Fate.LOST);
    }
}
