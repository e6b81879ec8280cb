package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.gullway.agent.CommandSender;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.command.CommandBatch;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.fake.SimulatedTime;
import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.Metrics;
import org.gullway.protocol.AgentCommand;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.transport.HttpRequest;
import org.junit.jupiter.api.Test;

/**
 * A start command that contradicts the records when its command batch is sent is omitted from the batch and reported as
 * an invariant violation.
 */
class StartAuthorizationTest {
    private static final TaskId TASK = new TaskId("run-000001", 0);
    private static final AgentCommand START = AgentCommand.start(TASK, Count.ONE);
    private static final AgentCommand STOP = AgentCommand.stop(new TaskId("run-000002", 0), Count.ONE, Duration.ZERO);

    private final ClusterState clusterState = TestFixtures.clusterState();
    private final SimulatedTime.SimulatedProcess loop = new SimulatedTime().newProcess();
    private final Metrics metrics = new Metrics();
    private final InvariantMonitor invariants = new InvariantMonitor(metrics);
    private final List<String> violations = new ArrayList<>();
    private final List<HttpRequest> sent = new ArrayList<>();
    private final CancellationEnforcer cancellationEnforcer =
            new CancellationEnforcer(clusterState, Duration.ofSeconds(40));
    private boolean holdsValidLease = true;
    private final CommandSender sender = new CommandSender(
            loop,
            (address, request, callback) -> sent.add(request),
            new AgentReconciler(
                    clusterState,
                    TestFixtures.SELF,
                    Duration.ofSeconds(3),
                    TestFixtures.NETWORK_PARTITION_SETTINGS,
                    new CompletionBuffer(clusterState),
                    cancellationEnforcer),
            cancellationEnforcer,
            new StartAuthorization(clusterState, TestFixtures.SELF),
            () -> holdsValidLease,
            invariants,
            metrics,
            () -> {});

    StartAuthorizationTest() {
        invariants.setViolationListener(violations::add);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        put(job -> job, 11);
    }

    private void put(UnaryOperator<JobRecord> change, long version) {
        JobRecord job = JobRecord.accepted(
                TestFixtures.request(TASK.job(), "red", Priority.HIGH, 1, 4), null, TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job(TASK.job()),
                change.apply(TestFixtures.placed(job, TestFixtures.WALL_CLOCK_TIME, "vm-1")),
                Count.of(version));
        clusterState.advanceTo(Count.of(version));
    }

    private void send(long fencingToken, long agentEpoch, AgentCommand start) {
        sender.send(new CommandBatch(
                "vm-1",
                "10.1.0.1:9000",
                Count.of(fencingToken),
                Count.of(agentEpoch),
                List.of(start, STOP),
                Instant.EPOCH));
    }

    /** Checks that one batch was sent, with the stop command, and with the start command only if {@code included}. */
    private void assertBatchIncludesStart(boolean included) {
        byte[] body = AgentCommand.encodeDirect(Count.ONE, Count.ONE, included ? List.of(START, STOP) : List.of(STOP));
        assertThat(sent).singleElement().satisfies(request -> assertThat(request.body())
                .isEqualTo(body));
    }

    @Test
    void sendsAStartThatMatchesTheRecords() {
        send(1, 1, START);
        assertBatchIncludesStart(true);
        assertThat(violations).isEmpty();
    }

    @Test
    void omitsAStartOfACancelledJob() {
        put(job -> job.withCancellation(TestFixtures.WALL_CLOCK_TIME), 12);
        send(1, 1, START);
        assertBatchIncludesStart(false);
        assertThat(violations).singleElement().asString().contains("the job is cancelled");
    }

    @Test
    void omitsAStartOfAJobThatIsNotOnRecord() {
        clusterState.remove(StoreKeys.job(TASK.job()), Count.of(12));
        send(1, 1, START);
        assertBatchIncludesStart(false);
        assertThat(violations).singleElement().asString().contains("the job is not on record");
    }

    @Test
    void omitsAStartOfAStoppingPlacement() {
        put(job -> job.withStopping(placement -> true), 12);
        send(1, 1, START);
        assertBatchIncludesStart(false);
        assertThat(violations)
                .singleElement()
                .asString()
                .contains("the job record has no placement of this attempt on this machine in this agent epoch, "
                        + "or the placement is being stopped");
    }

    @Test
    void omitsAStartOfAnAttemptThatIsNotOnRecord() {
        send(1, 1, AgentCommand.start(TASK, Count.of(2)));
        assertBatchIncludesStart(false);
        assertThat(violations)
                .singleElement()
                .asString()
                .contains("the job record has no placement of this attempt on this machine in this agent epoch, "
                        + "or the placement is being stopped");
    }

    @Test
    void omitsAStartWithAnotherAgentEpochFencingTokenOrController() {
        send(1, 2, START);
        send(2, 1, START);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.PEER), 12);
        send(1, 1, START);
        assertThat(violations).hasSize(3);
        assertThat(violations.get(0)).contains("the batch's agent epoch differs from the one on record: 1");
        assertThat(violations.get(1)).contains("the batch's fencing token differs from the current one: 1");
        assertThat(violations.get(2))
                .contains("the machine is not on record, has no agent yet, or is commanded by another controller");
    }

    /**
     * The controller's membership lease can expire while a long scheduling cycle sends commands. A start command that
     * is omitted for this reason is not an invariant violation.
     */
    @Test
    void omitsAStartWithoutAValidLease() {
        holdsValidLease = false;
        send(1, 1, START);
        assertBatchIncludesStart(false);
        assertThat(violations).isEmpty();
    }
}
