package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeAgent;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** {@link InvariantChecker} reports a violation of each rule, and no violation for valid sequences of events. */
class InvariantCheckerTest {
    private static final Duration CANCELLATION_LIMIT = Duration.ofSeconds(40);
    private final InvariantChecker invariants =
            new InvariantChecker(CANCELLATION_LIMIT, Map.of("red", new Settings.Team("red", 8, 24, 0, 0)));

    @BeforeEach
    void addMachines() {
        invariants.onMachineUp("a1", new FakeAgent.Kind("small", "a", false, 16));
        invariants.onMachineUp("a2", new FakeAgent.Kind("large", "a", true, 32));
        invariants.onMachineUp("b1", new FakeAgent.Kind("small", "b", false, 16));
    }

    private static Instant at(int second) {
        return Instant.EPOCH.plusSeconds(second);
    }

    private String submitJob(int number, int tasks, SimulatedCluster.JobConstraints constraints) {
        String id = String.format("run-%06d", number);
        invariants.onSubmitted(new JobRequest(
                id,
                "render",
                "red",
                JobRequest.Shape.ARRAY,
                Priority.HIGH,
                tasks,
                4,
                0,
                4,
                "img-1",
                1,
                constraints.machineTypes(),
                constraints.zone(),
                constraints.singleZone(),
                constraints.spreadAcrossZones(),
                constraints.spotAllowed(),
                CANCELLATION_LIMIT,
                Duration.ZERO,
                Duration.ZERO,
                null));
        invariants.onAccepted(id, at(0));
        return id;
    }

    private String submitWithoutConstraints(int number, int tasks) {
        return submitJob(number, tasks, new SimulatedCluster.JobConstraints(null, null, false, false, true));
    }

    private void assertViolatesOnly(String rule) {
        assertThat(invariants.violations).singleElement().asString().startsWith(rule);
    }

    @Test
    void violationsOfTypeZoneAndSpotConstraints() {
        String typed = submitJob(1, 4, new SimulatedCluster.JobConstraints(List.of("small"), "a", false, false, false));
        invariants.onTaskStarted("a1", typed + "/0", at(1));
        assertThat(invariants.violations).isEmpty();
        invariants.onTaskStarted("a2", typed + "/1", at(1));
        assertViolatesOnly("wrong_place: run-000001/1 on a2: a spot machine");
        invariants.violations.clear();
        invariants.onTaskStarted("b1", typed + "/2", at(1));
        assertViolatesOnly("wrong_place: run-000001/2 on b1: in zone b");
        invariants.violations.clear();
        invariants.onTaskStarted(
                "a2",
                submitJob(2, 1, new SimulatedCluster.JobConstraints(List.of("small"), null, false, false, true)) + "/0",
                at(1));
        assertViolatesOnly("wrong_place: run-000002/0 on a2: of type large");
    }

    @Test
    void aSecondZoneForASingleZoneJob() {
        String id = submitJob(1, 3, SimulatedCluster.JobConstraints.SINGLE_ZONE);
        invariants.onTaskStarted("a1", id + "/0", at(1));
        invariants.onTaskStarted("a2", id + "/1", at(1));
        invariants.onTaskEnded("a1", id + "/0", true);
        assertThat(invariants.violations).isEmpty();
        invariants.onTaskStarted("b1", id + "/2", at(2));
        assertViolatesOnly("wrong_place: run-000001/2 on b1: in zone b");
    }

    @Test
    void theZoneOfASingleZoneJobMayChangeOnceNoTaskRuns() {
        String id = submitJob(1, 2, SimulatedCluster.JobConstraints.SINGLE_ZONE);
        invariants.onTaskStarted("a1", id + "/0", at(1));
        invariants.onTaskEnded("a1", id + "/0", false);
        invariants.onTaskStarted("b1", id + "/0", at(2));
        assertThat(invariants.violations).isEmpty();
    }

    @Test
    void tooManyTasksOfASpreadJobInOneZone() {
        String id = submitJob(1, 5, SimulatedCluster.JobConstraints.SPREAD);
        for (int i = 0; i < 3; i++) {
            invariants.onTaskStarted("a1", id + "/" + i, at(1));
        }
        assertThat(invariants.violations).isEmpty();
        invariants.onTaskStarted("a2", id + "/3", at(1));
        assertViolatesOnly("wrong_place: run-000001/3 on a2: more than half of the tasks in zone a");
    }

    @Test
    void aTaskThatRunsTwiceAndATeamAboveItsQuota() {
        String id = submitWithoutConstraints(1, 9);
        invariants.onTaskStarted("a1", id + "/0", at(1));
        invariants.onTaskStarted("b1", id + "/0", at(1));
        assertViolatesOnly("ran_twice: run-000001/0");
        invariants.violations.clear();
        for (int i = 1; i < 5; i++) {
            invariants.onTaskStarted("a2", id + "/" + i, at(1));
        }
        assertThat(invariants.violations).isEmpty();
        invariants.onTaskStarted("a2", id + "/5", at(1));
        assertViolatesOnly("quota: red uses 28.0 of 24.0 CPUs");
    }

    @Test
    void tasksOfACancelledJobThatRunAtOrStartAfterTheLimit() {
        String id = submitWithoutConstraints(1, 3);
        invariants.onTaskStarted("a1", id + "/0", at(1));
        invariants.onCancellationRequested(id);
        assertThat(invariants.onStateReported(id, "aborted", at(2), at(2))).isTrue();
        invariants.onTaskStarted("a1", id + "/1", at(3));
        assertThat(invariants.startsAfterCancellation()).isOne();
        invariants.onTaskEnded("a1", id + "/1", false);
        assertThat(invariants.violations).isEmpty();
        invariants.checkCancellationLimit(id, at(42));
        assertViolatesOnly("ran_cancelled: run-000001/0 is on [a1]");
        invariants.violations.clear();
        invariants.onTaskStarted("a1", id + "/2", at(43));
        assertViolatesOnly("ran_cancelled: run-000001/2 starts");
    }

    @Test
    void incorrectOrChangedFinalStates() {
        String id = submitWithoutConstraints(1, 1);
        invariants.onStateReported(id, "done", at(1), at(1));
        assertViolatesOnly("not_done: run-000001/0");
        invariants.violations.clear();
        invariants.onStateReported(id, "running", at(0), at(2));
        assertThat(invariants.violations)
                .as("violations by an answer to a query sent before the final state was reported")
                .isEmpty();
        invariants.onStateReported(id, "running", at(2), at(2));
        assertViolatesOnly("went_back: run-000001 was done, then running");
        invariants.violations.clear();
        invariants.onCancellationRequested(id);
        invariants.onStateReported(id, "aborted", at(0), at(3));
        assertViolatesOnly("went_back: run-000001 was done, then aborted");
        invariants.violations.clear();
        invariants.onCancellationAnswered(id, "running", at(3));
        assertViolatesOnly("went_back: the cancellation of run-000001");
        invariants.violations.clear();
        invariants.onStateReported(submitWithoutConstraints(2, 1), "aborted", at(1), at(1));
        assertViolatesOnly("went_back: run-000002 is cancelled without a request");
    }

    @Test
    void unansweredQueriesAndUnknownJobs() {
        String id = submitWithoutConstraints(1, 1);
        invariants.onQueried(id, 404, at(1), at(1));
        assertViolatesOnly("forgotten: run-000001 gets 404");
        invariants.violations.clear();
        invariants.onFaultsEnded(at(10));
        invariants.onQueried(id, 503, at(84), at(84));
        assertThat(invariants.violations).isEmpty();
        invariants.onQueried(id, 503, at(86), at(86));
        assertViolatesOnly("forgotten: no query about run-000001 is answered since ");
    }

    @Test
    void unansweredQueriesAboutOneJobWhileOthersAreAnswered() {
        String unanswered = submitWithoutConstraints(1, 1);
        String answered = submitWithoutConstraints(2, 1);
        for (int second = 1; second < 90; second += 5) {
            invariants.onQueried(unanswered, 503, at(second), at(second));
            invariants.onQueried(answered, 200, at(second), at(second));
        }
        assertThat(invariants.violations).isEmpty();
        invariants.onQueried(unanswered, 503, at(91), at(91));
        assertViolatesOnly("forgotten: only queries about run-000001 are not answered since ");
    }

    @Test
    void afterAllFaultsQueriesAboutEachJobMustBeAnswered() {
        String answered = submitWithoutConstraints(1, 1);
        String unanswered = submitWithoutConstraints(2, 1);
        invariants.onFaultsEnded(at(10));
        for (int second = 12; second < 85; second += 5) {
            invariants.onQueried(answered, 200, at(second), at(second));
            invariants.onQueried(unanswered, second < 15 ? 200 : 503, at(second), at(second));
        }
        assertThat(invariants.violations).isEmpty();
        invariants.onQueried(answered, 200, at(88), at(88));
        invariants.onQueried(unanswered, 503, at(88), at(88));
        assertViolatesOnly("forgotten: no query about run-000002 is answered since ");
    }

    @Test
    void responsesToRepeatedAndInvalidSubmissions() {
        String id = submitWithoutConstraints(1, 1);
        invariants.onResubmitted(id, 200, at(1));
        invariants.onResubmitted(id, 503, at(1));
        assertThat(invariants.onInvalidSubmission("run-000002", 400, 503))
                .as("a final response")
                .isFalse();
        assertThat(invariants.onInvalidSubmission("run-000002", 400, 400))
                .as("a final response")
                .isTrue();
        assertThat(invariants.violations).isEmpty();
        invariants.onResubmitted(id, 422, at(1));
        assertViolatesOnly("forgotten: run-000001 submitted again gets 422");
        invariants.violations.clear();
        invariants.onInvalidSubmission("run-000002", 422, 201);
        assertViolatesOnly("accepted: run-000002");
        invariants.violations.clear();
        invariants.onInvalidSubmission("run-000002", 422, 400);
        assertViolatesOnly("wrong_refusal: run-000002");
        invariants.violations.clear();
        invariants.onInvalidJobQueried("run-000002", 404);
        assertThat(invariants.violations).isEmpty();
        invariants.onInvalidJobQueried("run-000002", 200);
        assertViolatesOnly("invented: query about run-000002 gets 200");
    }

    @Test
    void aJobWaitsTooLongDespiteFreeCapacity() {
        String id = submitJob(1, 1, SimulatedCluster.JobConstraints.in("b"));
        invariants.checkStarvation(machine -> true, at(1));
        invariants.onFaultsEnded(at(2));
        invariants.checkStarvation(machine -> true, at(3));
        invariants.checkStarvation(machine -> !machine.equals("b1"), at(50));
        invariants.checkStarvation(machine -> true, at(60));
        invariants.checkStarvation(machine -> true, at(150));
        assertThat(invariants.violations).isEmpty();
        invariants.checkStarvation(machine -> true, at(151));
        assertViolatesOnly("left_waiting: " + id + " could have started since ");
    }

    @Test
    void waitingForTheQuotaOfTheTeamIsNotAViolation() {
        String running = submitWithoutConstraints(1, 6);
        for (int i = 0; i < 6; i++) {
            invariants.onTaskStarted("a2", running + "/" + i, at(1));
        }
        submitWithoutConstraints(2, 1);
        invariants.onFaultsEnded(at(2));
        invariants.checkStarvation(machine -> true, at(3));
        invariants.checkStarvation(machine -> true, at(200));
        assertThat(invariants.violations).isEmpty();
        invariants.onTaskEnded("a2", running + "/0", true);
        invariants.checkStarvation(machine -> true, at(201));
        invariants.checkStarvation(machine -> true, at(292));
        assertViolatesOnly("left_waiting: run-000002 could have started since ");
    }
}
