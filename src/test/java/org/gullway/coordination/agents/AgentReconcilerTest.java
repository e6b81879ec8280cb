package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.command.CommandOutcome;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;

class AgentReconcilerTest {
    private static final TaskId TASK = new TaskId("run-000001", 0);

    private final ClusterState clusterState = TestFixtures.view();
    private final CompletionBuffer completionBuffer = new CompletionBuffer(clusterState);
    private final AgentReconciler control = new AgentReconciler(
            clusterState,
            TestFixtures.SELF,
            Duration.ofSeconds(3),
            TestFixtures.NEIGHBOURS,
            completionBuffer,
            new CancellationEnforcer(clusterState, TestFixtures.NEIGHBOURS.cancelLimit()));
    private Instant now = Instant.EPOCH;
    private long sequence;
    private long revision = 100;

    AgentReconcilerTest() {
        control.onLeaseStatus(true, now);
    }

    private Heartbeat report(long agentEpoch, long fencingToken, Duration notice, TaskStatus... tasks) {
        return new Heartbeat(
                "vm-1",
                "10.1.0.1:9000",
                "large",
                "a",
                true,
                agentEpoch,
                ++sequence,
                fencingToken,
                notice,
                List.of(tasks));
    }

    private Transaction propose() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY);
        control.commandsDue(now);
        control.plan(transaction, TestFixtures.leaderContext(now));
        completionBuffer.planFinishedJobs(transaction);
        completionBuffer.plan(transaction, TestFixtures.leaderContext(now));
        TestFixtures.commit(clusterState, transaction, ++revision);
        return transaction;
    }

    private void place(JobRequest request) {
        clusterState.put(
                StoreKeys.job(request.id()),
                TestFixtures.placed(JobRecord.accepted(request, "perch-0", TestFixtures.DAY), TestFixtures.DAY, "vm-1"),
                ++revision);
        clusterState.advanceTo(revision);
    }

    @Test
    void recordsASessionBeforeItStartsAnythingThere() {
        TestFixtures.put(
                clusterState,
                MachineRecord.booting("vm-1", "large", "a", true, TestFixtures.DAY, TestFixtures.SELF, 1),
                10);
        assertThat(control.onHeartbeat(report(1, 0, null), now)).isInstanceOf(HeartbeatResponse.Accepted.class);
        assertThat(control.commandsDue(now)).isEmpty();
        propose();
        assertThat(clusterState.machine("vm-1").agentEpoch()).isEqualTo(1);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4));
        assertThat(control.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(batch.commands())
                    .as("asks for the epoch's confirmation first")
                    .isEmpty();
            control.onCommandResponse(report(1, 1, null), now);
            control.onCommandOutcome(batch, CommandOutcome.ANSWERED, now);
        });
        assertThat(control.commandsDue(now)).singleElement().satisfies(batch -> {
            assertThat(batch.hasStarts()).isTrue();
            assertThat(batch.fencingToken()).isEqualTo(1);
        });
    }

    /** A report of a machine that is not on record may be an old copy; only the cloud's word brings one on record. */
    @Test
    void aReportAloneDoesNotPutAMachineOnRecord() {
        assertThat(control.onHeartbeat(report(1, 1, null), now))
                .isEqualTo(new HeartbeatResponse.Accepted(1, List.of(), false));
        assertThat(propose().isEmpty()).isTrue();
        assertThat(control.schedulableMachines(now)).isEmpty();
    }

    @Test
    void sendsAWorkerBackToItsControllerOnceAndThenTakesItsGroupOverUnderAHigherEpoch() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 10);
        assertThat(control.onHeartbeat(report(1, 1, null), now)).isEqualTo(new HeartbeatResponse.Redirect("perch-1"));
        now = now.plusSeconds(5);
        assertThat(control.onHeartbeat(report(1, 1, null), now))
                .as("keeps its lease meanwhile")
                .isEqualTo(new HeartbeatResponse.Accepted(1, List.of(), true));
        now = now.plusSeconds(3);
        assertThat(control.onHeartbeat(report(1, 1, null), now))
                .as("but must not stay where nobody commands it")
                .isEqualTo(new HeartbeatResponse.Redirect("perch-1"));
        propose();
        assertThat(clusterState.fencingToken()).isEqualTo(2);
        assertThat(clusterState.machine("vm-1").fencingToken()).isEqualTo(2);
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
    }

    @Test
    void takesOverTheGroupsOfALostControllerWithoutWaitingForReports() {
        clusterState.remove(StoreKeys.member("perch-1"), 50);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        propose();
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
        assertThat(clusterState.fencingToken()).isEqualTo(2);
        assertThat(control.commandsDue(now)).singleElement().satisfies(p -> assertThat(p.commands())
                .isEmpty());
    }

    /** One raise serves all groups of controllers lost before it; a loss after it needs another. */
    @Test
    void raisesTheEpochOnceForAllGroupsThatWereLostBefore() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 61);
        clusterState.remove(StoreKeys.member("perch-1"), 62);
        clusterState.advanceTo(62);
        Transaction small = new Transaction(
                clusterState, TestFixtures.SELF, new Transaction.Limits(3, 16 * 1024), TestFixtures.DAY);
        control.plan(small, TestFixtures.leaderContext(now));
        TestFixtures.commit(clusterState, small, ++revision);
        Transaction second = propose();
        assertThat(clusterState.fencingToken()).isEqualTo(2);
        assertThat(second.conditions())
                .as("the lost one has not come back")
                .contains(StoreKeys.member("perch-1"), StoreKeys.FENCING_TOKEN);
        assertThat(List.of(clusterState.machine("vm-1"), clusterState.machine("vm-2")))
                .allSatisfy(machine -> {
                    assertThat(machine.controller()).isEqualTo(TestFixtures.SELF);
                    assertThat(machine.fencingToken()).isEqualTo(2);
                });
        clusterState.put(StoreKeys.member("perch-1"), TestFixtures.PEER, ++revision);
        clusterState.remove(StoreKeys.member("perch-1"), ++revision);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-3", "large", TestFixtures.PEER), ++revision);
        propose();
        assertThat(clusterState.machine("vm-3").fencingToken()).isEqualTo(3);
    }

    /** A worker in a session that is not on record yet was once asked again with every answer, 160 times a second. */
    @Test
    void doesNotAskAWorkerInANewSessionAgainAndAgain() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        control.onHeartbeat(report(2, 1, null), now);
        for (int i = 0; i < 20; i++) {
            now = now.plusMillis(50);
            control.onHeartbeat(report(2, 1, null, new TaskStatus(TASK, i, Phase.RUNNING, null, false)), now);
            assertThat(control.commandsDue(now)).isEmpty();
        }
    }

    /** Its reports look alive, but no command is answered: it takes no more tasks and is given up in the end. */
    @Test
    void aMachineThatReportsButDoesNotHearIsGivenUp() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.SELF), 11);
        Heartbeat other = report(1, 1, null);
        control.onHeartbeat(other, now);
        assertThat(control.schedulableMachines(now)).hasSize(1);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4));
        for (int i = 0; i < 5; i++) {
            control.onHeartbeat(report(1, 1, null), now);
            control.onHeartbeat(
                    new Heartbeat("vm-2", "10.1.0.2:9000", "large", "a", true, 1, ++sequence, 1, null, List.of()), now);
            Instant sent = now;
            now = now.plusSeconds(3);
            control.commandsDue(sent).stream()
                    .filter(batch -> batch.machine().equals("vm-1"))
                    .forEach(batch -> control.onCommandOutcome(batch, CommandOutcome.UNKNOWN, now));
            assertThat(control.schedulableMachines(now))
                    .extracting(MachineRecord::name)
                    .doesNotContain("vm-1");
            propose();
        }
        assertThat(clusterState.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.LOST);
        assertThat(clusterState.machine("vm-2").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.ACTIVE);
        assertThat(clusterState.job("run-000001").livePlacements())
                .as("its task moves only when the machine is gone")
                .hasSize(1);
    }

    /** A start of the former controller may still be under way until the worker has confirmed the new epoch. */
    @Test
    void recordsAnEndOnlyOnceTheFormerControllerIsFenced() {
        clusterState.remove(StoreKeys.member("perch-1"), 50);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", new Incarnation("perch-2", 3)), 10);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4));
        TaskStatus ended = new TaskStatus(TASK, 1, Phase.ENDED, Cause.STOPPED, false);
        control.onHeartbeat(report(1, 1, null, ended), now);
        propose();
        propose();
        assertThat(clusterState.job("run-000001").livePlacements()).hasSize(1);
        control.onCommandResponse(report(1, 2, null, ended), now);
        propose();
        assertThat(clusterState.job("run-000001").livePlacements()).isEmpty();
        assertThat(clusterState.job("run-000001").waitingTasks()).isEqualTo(1);
    }

    /** After a start without an answer the epoch rises, and only its confirmation settles what became of it. */
    @Test
    void raisesTheEpochAfterAStartWithoutAnAnswer() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        control.onHeartbeat(report(1, 1, null), now);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4));
        CommandBatch batch = control.commandsDue(now).get(0);
        control.onCommandOutcome(batch, CommandOutcome.UNKNOWN, now);
        propose();
        assertThat(clusterState.fencingToken()).isEqualTo(2);
        now = now.plusSeconds(1);
        assertThat(control.commandsDue(now)).singleElement().satisfies(p -> assertThat(p.commands())
                .isEmpty());
    }

    /** A start that arrives twice would begin a forgotten attempt again. */
    @Test
    void letsAWorkerForgetAStoppedAttemptOnlyUnderAHigherEpoch() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TaskStatus ended = new TaskStatus(TASK, 1, Phase.ENDED, Cause.STOPPED, false);
        TaskStatus done = new TaskStatus(new TaskId("run-000002", 0), 1, Phase.ENDED, Cause.DONE, false);
        control.onHeartbeat(report(1, 1, null, ended, done), now);
        HeartbeatResponse.Accepted first =
                (HeartbeatResponse.Accepted) control.onHeartbeat(report(1, 1, null, ended, done), now);
        assertThat(first.commands()).containsExactly(AgentCommand.forget(done.task(), 1));
        clusterState.put(StoreKeys.FENCING_TOKEN, new FencingToken(2), ++revision);
        HeartbeatResponse.Accepted second =
                (HeartbeatResponse.Accepted) control.onHeartbeat(report(1, 2, null, ended), now);
        assertThat(second.commands()).containsExactly(AgentCommand.forget(TASK, 1));
    }

    @Test
    void anOlderReportChangesNothing() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 4));
        Heartbeat late = report(1, 1, null, new TaskStatus(TASK, 1, Phase.ENDED, Cause.ERROR, false));
        control.onHeartbeat(report(1, 1, null, new TaskStatus(TASK, 1, Phase.RUNNING, null, false)), now);
        control.onHeartbeat(late, now);
        propose();
        assertThat(clusterState.job("run-000001").livePlacements()).hasSize(1);
    }

    @Test
    void savesTasksBeforeAMachineIsTakenAndReturnsItThen() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        JobRequest r = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        place(new JobRequest(
                r.id(),
                r.jobClass(),
                r.team(),
                r.shape(),
                r.priority(),
                1,
                4,
                0,
                4,
                r.image(),
                r.imageGb(),
                null,
                null,
                false,
                false,
                true,
                r.estimatedRunTime(),
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                null));
        TaskStatus running = new TaskStatus(TASK, 1, Phase.RUNNING, null, false);
        control.onHeartbeat(report(1, 1, Duration.ofSeconds(15), running), now);
        propose();
        assertThat(clusterState.machine("vm-1").isSchedulable()).isFalse();
        assertThat(clusterState.job("run-000001").livePlacements().get(0).stopping())
                .isFalse();
        now = now.plusSeconds(10);
        control.onHeartbeat(report(1, 1, Duration.ofSeconds(5), running), now);
        propose();
        assertThat(clusterState.job("run-000001").livePlacements().get(0).stopping())
                .isTrue();
        now = now.plusSeconds(6);
        propose();
        assertThat(clusterState.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.LOST);
    }

    /** Pushes may be lost while reports and their answers get through, and the machine may be another's. */
    @Test
    void everyAnswerThatRenewsALeaseStopsCancelledTasks() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request);
        clusterState.put(
                StoreKeys.job(request.id()),
                clusterState.job(request.id()).withCancellation(TestFixtures.DAY),
                ++revision);
        clusterState.advanceTo(revision);
        AgentCommand stop = AgentCommand.stop(TASK, 1, Duration.ZERO);
        TaskStatus running = new TaskStatus(TASK, 1, Phase.RUNNING, null, false);
        assertThat(((HeartbeatResponse.Accepted) control.onHeartbeat(report(1, 1, null, running), now)).commands())
                .contains(stop);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), ++revision);
        control.onHeartbeat(report(1, 1, null, running), now);
        assertThat(((HeartbeatResponse.Accepted) control.onHeartbeat(report(1, 1, null, running), now)).commands())
                .as("a worker that cannot reach its controller")
                .contains(stop);
        clusterState.remove(StoreKeys.shard("g-vm-1"), ++revision);
        assertThat(((HeartbeatResponse.Accepted) control.onHeartbeat(report(1, 1, null, running), now)).commands())
                .as("a machine that is not on record")
                .contains(stop);
    }

    /** Ten changes of leader in two minutes: silence begins anew each time, the limit of a cancelled job does not. */
    @Test
    void theLimitOfACancelledJobRunsOnAcrossTakeovers() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request);
        clusterState.put(
                StoreKeys.job(request.id()),
                clusterState.job(request.id()).withCancellation(TestFixtures.DAY.minusSeconds(29)),
                ++revision);
        clusterState.advanceTo(revision);
        control.onLeaseStatus(false, now);
        control.onLeaseStatus(true, now);
        propose();
        assertThat(clusterState.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.ACTIVE);
        clusterState.put(
                StoreKeys.job(request.id()),
                clusterState.job(request.id()).withCancellation(TestFixtures.DAY.minusSeconds(31)),
                ++revision);
        propose();
        assertThat(clusterState.machine("vm-1").lifecycle())
                .as("the first cancellation counts")
                .isEqualTo(MachineRecord.MachineLifecycle.ACTIVE);
        Transaction later =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY.plusSeconds(2));
        control.plan(later, TestFixtures.leaderContext(now));
        assertThat(later.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.LOST);
    }

    /** Its end is seen here, only the record is late: no reason to return the machine. */
    @Test
    void aMachineWhoseCancelledTaskIsSeenToBeGoneStays() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        place(request);
        clusterState.put(
                StoreKeys.job(request.id()),
                clusterState.job(request.id()).withCancellation(TestFixtures.DAY.minusSeconds(35)),
                ++revision);
        clusterState.advanceTo(revision);
        control.onHeartbeat(report(1, 1, null, new TaskStatus(TASK, 1, Phase.ENDED, Cause.STOPPED, false)), now);
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY);
        control.plan(transaction, TestFixtures.leaderContext(now));
        assertThat(transaction.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.ACTIVE);
    }

    /** Two jobs with a mistake fail on all machines; two others that fail on one machine alone show that it is faulty. */
    @Test
    void jobsThatFailEverywhereDoNotMakeMachinesFaulty() {
        for (int m = 1; m <= 3; m++) {
            TestFixtures.put(clusterState, TestFixtures.machine("vm-" + m, "large", TestFixtures.SELF), 9 + m);
        }
        for (int j = 1; j <= 2; j++) {
            String id = "run-00000" + j;
            clusterState.put(
                    StoreKeys.job(id),
                    TestFixtures.placed(
                            JobRecord.accepted(
                                    TestFixtures.request(id, "red", Priority.NORMAL, 6, 4),
                                    "perch-0",
                                    TestFixtures.DAY),
                            TestFixtures.DAY,
                            "vm-1",
                            "vm-2",
                            "vm-3"),
                    ++revision);
        }
        clusterState.advanceTo(revision);
        for (int m = 1; m <= 3; m++) {
            fail("vm-" + m, m - 1, "run-000001", "run-000002");
        }
        propose();
        assertThat(clusterState.machines())
                .extracting(MachineRecord::lifecycle)
                .containsOnly(MachineRecord.MachineLifecycle.ACTIVE);
        // Their users cancel them; what was found out stays.
        clusterState.remove(StoreKeys.job("run-000001"), ++revision);
        clusterState.remove(StoreKeys.job("run-000002"), ++revision);
        clusterState.advanceTo(revision);
        propose();
        assertThat(clusterState.machines())
                .extracting(MachineRecord::lifecycle)
                .containsOnly(MachineRecord.MachineLifecycle.ACTIVE);
        for (int j = 3; j <= 4; j++) {
            String id = "run-00000" + j;
            clusterState.put(
                    StoreKeys.job(id),
                    TestFixtures.placed(
                            JobRecord.accepted(
                                    TestFixtures.request(id, "red", Priority.NORMAL, 6, 4),
                                    "perch-0",
                                    TestFixtures.DAY),
                            TestFixtures.DAY,
                            "vm-2"),
                    ++revision);
        }
        clusterState.advanceTo(revision);
        fail("vm-2", 0, "run-000003", "run-000004");
        propose();
        assertThat(clusterState.machine("vm-2").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.DRAINING);
        assertThat(clusterState.machine("vm-1").lifecycle()).isEqualTo(MachineRecord.MachineLifecycle.ACTIVE);
    }

    private void reportUnchanged(String machine) {
        control.onHeartbeat(
                new Heartbeat(machine, "10.1.0.1:9000", "large", "a", true, 1, ++sequence, 1, null, List.of()), now);
    }

    /** A round costs as much as has changed: unchanged reports of a thousand workers make it look at none. */
    @Test
    void looksOnlyAtWorkersOfWhichSomethingHasChanged() {
        int machines = 1000;
        for (int i = 1; i <= machines; i++) {
            TestFixtures.put(clusterState, TestFixtures.machine("vm-" + i, "large", TestFixtures.SELF), ++revision);
            reportUnchanged("vm-" + i);
        }
        propose();
        long before = control.visits();
        for (int round = 0; round < 50; round++) {
            now = now.plusMillis(60);
            for (int i = 1 + round * 20; i <= (round + 1) * 20; i++) {
                reportUnchanged("vm-" + i);
            }
            assertThat(control.commandsDue(now)).isEmpty();
        }
        assertThat(control.visits() - before).as("looks at unchanged workers").isZero();
        place(TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4));
        assertThat(control.commandsDue(now)).singleElement().satisfies(batch -> assertThat(batch.hasStarts())
                .isTrue());
        assertThat(control.visits() - before).isLessThanOrEqualTo(2);
    }

    /** Groups are gone through again only when groups or members have changed, and then they are. */
    @Test
    void claimsTheGroupsOfAControllerThatIsLostAfterManyQuietRounds() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 60);
        for (int round = 0; round < 3; round++) {
            propose();
        }
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.PEER);
        clusterState.remove(StoreKeys.member("perch-1"), ++revision);
        clusterState.advanceTo(revision);
        propose();
        assertThat(clusterState.machine("vm-1").controller()).isEqualTo(TestFixtures.SELF);
    }

    private void fail(String machine, int task, String... jobs) {
        List<TaskStatus> tasks = java.util.stream.Stream.of(jobs)
                .map(job -> new TaskStatus(new TaskId(job, task), task + 1, Phase.ENDED, Cause.ERROR, false))
                .toList();
        control.onHeartbeat(
                new Heartbeat(machine, "10.1.0.1:9000", "large", "a", true, 1, ++sequence, 1, null, tasks), now);
        control.commandsDue(now);
    }
}
