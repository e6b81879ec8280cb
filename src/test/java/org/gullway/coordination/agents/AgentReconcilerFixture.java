package org.gullway.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.gullway.protocol.TaskStatus.Cause;
import org.gullway.protocol.TaskStatus.Phase;

/** An agent reconciler whose cluster state has two members, with helpers to place tasks, send heartbeats, and plan. */
abstract class AgentReconcilerFixture {
    static final TaskId TASK = new TaskId("run-000001", 0);

    final ClusterState clusterState = TestFixtures.clusterState();
    final CompletionBuffer completionBuffer = new CompletionBuffer(clusterState);
    final AgentReconciler reconciler = new AgentReconciler(
            clusterState,
            TestFixtures.SELF,
            Duration.ofSeconds(3),
            TestFixtures.NETWORK_PARTITION_SETTINGS,
            completionBuffer,
            new CancellationEnforcer(clusterState, TestFixtures.NETWORK_PARTITION_SETTINGS.cancellationLimit()));
    Instant now = Instant.EPOCH;
    long sequence;
    long revision = 100;

    AgentReconcilerFixture() {
        reconciler.onLeaseStatus(true, now);
    }

    Heartbeat heartbeat(long agentEpoch, long fencingToken, Duration notice, TaskStatus... tasks) {
        return heartbeatOf("vm-1", agentEpoch, fencingToken, notice, List.of(tasks));
    }

    private Heartbeat heartbeatOf(
            String machine, long agentEpoch, long fencingToken, Duration notice, List<TaskStatus> tasks) {
        return new Heartbeat(
                machine,
                "10.1.0.1:9000",
                "large",
                "a",
                true,
                Count.of(agentEpoch),
                Count.of(++sequence),
                Count.of(fencingToken),
                notice,
                tasks);
    }

    /** Runs one scheduling cycle's steps for agents and completions, and commits the transaction. */
    Transaction planAndCommit() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        reconciler.commandsDue(now);
        reconciler.plan(transaction, TestFixtures.leaderContext(now));
        completionBuffer.planFinishedJobs(transaction);
        completionBuffer.plan(transaction, TestFixtures.leaderContext(now));
        TestFixtures.commit(clusterState, transaction, ++revision);
        return transaction;
    }

    /** Puts the job on record with one live attempt on each of these machines. */
    void place(JobRequest request, String... machines) {
        JobRecord accepted = JobRecord.accepted(request, "perch-0", TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job(request.id()),
                TestFixtures.placed(accepted, TestFixtures.WALL_CLOCK_TIME, machines),
                Count.of(++revision));
        clusterState.advanceTo(Count.of(revision));
    }

    /** Records the cancellation of a job without advancing the watch. */
    void cancel(String job, Instant at) {
        clusterState.put(StoreKeys.job(job), clusterState.job(job).withCancellation(at), Count.of(++revision));
    }

    MachineLifecycle lifecycle(String machine) {
        return clusterState.machine(machine).lifecycle();
    }

    void sendHeartbeatWithoutTasks(String machine) {
        reconciler.onHeartbeat(heartbeatOf(machine, 1, 1, null, List.of()), now);
    }

    /** Sends a heartbeat that lists a failed attempt of this task of each job. */
    void failTasks(String machine, int task, String... jobs) {
        List<TaskStatus> tasks = Stream.of(jobs)
                .map(job -> new TaskStatus(new TaskId(job, task), Count.of(task + 1), Phase.ENDED, Cause.ERROR, false))
                .toList();
        reconciler.onHeartbeat(heartbeatOf(machine, 1, 1, null, tasks), now);
        reconciler.commandsDue(now);
    }
}
