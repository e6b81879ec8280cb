package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.gullway.fake.FakeWorker;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule broken once on purpose: a check that finds nothing must be known to find something. */
class InvariantCheckerTest {
    private static final Duration CANCEL = Duration.ofSeconds(40);
    private final InvariantChecker rules =
            new InvariantChecker(CANCEL, Map.of("red", new Settings.Team("red", 8, 24, 0, 0)));

    @BeforeEach
    void machines() {
        rules.machine("a1", new FakeWorker.Kind("small", "a", false, 16));
        rules.machine("a2", new FakeWorker.Kind("large", "a", true, 32));
        rules.machine("b1", new FakeWorker.Kind("small", "b", false, 16));
    }

    private static Instant at(int second) {
        return Instant.EPOCH.plusSeconds(second);
    }

    private String job(int number, int tasks, SimulatedCluster.Bounds bounds) {
        String id = String.format("run-%06d", number);
        rules.submitted(new JobRequest(
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
                bounds.types(),
                bounds.zone(),
                bounds.oneZone(),
                bounds.spread(),
                bounds.spot(),
                CANCEL,
                Duration.ZERO,
                Duration.ZERO,
                null));
        rules.accepted(id, at(0));
        return id;
    }

    private String anywhere(int number, int tasks) {
        return job(number, tasks, new SimulatedCluster.Bounds(null, null, false, false, true));
    }

    private void breaks(String rule) {
        assertThat(rules.broken).singleElement().asString().startsWith(rule);
    }

    @Test
    void typeZoneAndKind() {
        String typed = job(1, 4, new SimulatedCluster.Bounds(List.of("small"), "a", false, false, false));
        rules.began("a1", typed + "/0", at(1));
        assertThat(rules.broken).isEmpty();
        rules.began("a2", typed + "/1", at(1));
        breaks("wrong_place: run-000001/1 on a2: a spot machine");
        rules.broken.clear();
        rules.began("b1", typed + "/2", at(1));
        breaks("wrong_place: run-000001/2 on b1: in zone b");
        rules.broken.clear();
        rules.began(
                "a2", job(2, 1, new SimulatedCluster.Bounds(List.of("small"), null, false, false, true)) + "/0", at(1));
        breaks("wrong_place: run-000002/0 on a2: of type large");
    }

    @Test
    void oneZone() {
        String id = job(1, 3, SimulatedCluster.Bounds.ONE_ZONE);
        rules.began("a1", id + "/0", at(1));
        rules.began("a2", id + "/1", at(1));
        rules.ended("a1", id + "/0", true);
        assertThat(rules.broken).isEmpty();
        rules.began("b1", id + "/2", at(2));
        breaks("wrong_place: run-000001/2 on b1: in zone b");
    }

    @Test
    void oneZoneMayChangeOnceNoTaskIsLeft() {
        String id = job(1, 2, SimulatedCluster.Bounds.ONE_ZONE);
        rules.began("a1", id + "/0", at(1));
        rules.ended("a1", id + "/0", false);
        rules.began("b1", id + "/0", at(2));
        assertThat(rules.broken).isEmpty();
    }

    @Test
    void spread() {
        String id = job(1, 5, SimulatedCluster.Bounds.SPREAD);
        for (int i = 0; i < 3; i++) {
            rules.began("a1", id + "/" + i, at(1));
        }
        assertThat(rules.broken).isEmpty();
        rules.began("a2", id + "/3", at(1));
        breaks("wrong_place: run-000001/3 on a2: the task beyond half");
    }

    @Test
    void aTaskTwiceAndATeamBeyondItsLimit() {
        String id = anywhere(1, 9);
        rules.began("a1", id + "/0", at(1));
        rules.began("b1", id + "/0", at(1));
        breaks("ran_twice: run-000001/0");
        rules.broken.clear();
        for (int i = 1; i < 5; i++) {
            rules.began("a2", id + "/" + i, at(1));
        }
        assertThat(rules.broken).isEmpty();
        rules.began("a2", id + "/5", at(1));
        breaks("quota: red uses 28.0");
    }

    @Test
    void cancelledTasksAtTheLimitAndAfterIt() {
        String id = anywhere(1, 3);
        rules.began("a1", id + "/0", at(1));
        rules.cancelAsked(id);
        assertThat(rules.heard(id, "aborted", at(2), at(2))).isTrue();
        rules.began("a1", id + "/1", at(3));
        assertThat(rules.startsAfterCancellation()).isOne();
        rules.ended("a1", id + "/1", false);
        assertThat(rules.broken).isEmpty();
        rules.atCancelLimit(id, at(42));
        breaks("ran_cancelled: run-000001/0 is on [a1]");
        rules.broken.clear();
        rules.began("a1", id + "/2", at(43));
        breaks("ran_cancelled: run-000001/2 starts");
    }

    @Test
    void finalStates() {
        String id = anywhere(1, 1);
        rules.heard(id, "done", at(1), at(1));
        breaks("not_done: run-000001/0");
        rules.broken.clear();
        rules.heard(id, "running", at(0), at(2));
        assertThat(rules.broken).as("asked before it was told").isEmpty();
        rules.heard(id, "running", at(2), at(2));
        breaks("went_back: run-000001 was done, then running");
        rules.broken.clear();
        rules.cancelAsked(id);
        rules.heard(id, "aborted", at(0), at(3));
        breaks("went_back: run-000001 was done, then aborted");
        rules.broken.clear();
        rules.cancelAnswered(id, "running", at(3));
        breaks("went_back: the cancellation of run-000001");
        rules.broken.clear();
        rules.heard(anywhere(2, 1), "aborted", at(1), at(1));
        breaks("went_back: run-000002 is cancelled by nobody");
    }

    @Test
    void answersThatAreMissing() {
        String id = anywhere(1, 1);
        rules.asked(id, 404, at(1), at(1));
        breaks("forgotten: run-000001 gets 404");
        rules.broken.clear();
        rules.calm(at(10));
        rules.asked(id, 503, at(84), at(84));
        assertThat(rules.broken).isEmpty();
        rules.asked(id, 503, at(86), at(86));
        breaks("forgotten: nothing is answered about run-000001");
    }

    @Test
    void answersThatAreMissingForOneJobAlone() {
        String one = anywhere(1, 1);
        String other = anywhere(2, 1);
        for (int second = 1; second < 90; second += 5) {
            rules.asked(one, 503, at(second), at(second));
            rules.asked(other, 200, at(second), at(second));
        }
        assertThat(rules.broken).isEmpty();
        rules.asked(one, 503, at(91), at(91));
        breaks("forgotten: run-000001 alone");
    }

    @Test
    void afterTheTroublesAnswersAboutOtherJobsDoNotExcuse() {
        String one = anywhere(1, 1);
        String other = anywhere(2, 1);
        rules.calm(at(10));
        for (int second = 12; second < 85; second += 5) {
            rules.asked(one, 200, at(second), at(second));
            rules.asked(other, second < 15 ? 200 : 503, at(second), at(second));
        }
        assertThat(rules.broken).isEmpty();
        rules.asked(one, 200, at(88), at(88));
        rules.asked(other, 503, at(88), at(88));
        breaks("forgotten: nothing is answered about run-000002");
    }

    @Test
    void submissions() {
        String id = anywhere(1, 1);
        rules.submittedAgain(id, 200, at(1));
        rules.submittedAgain(id, 503, at(1));
        assertThat(rules.odd("run-000002", 400, 503)).as("an end").isFalse();
        assertThat(rules.odd("run-000002", 400, 400)).as("an end").isTrue();
        assertThat(rules.broken).isEmpty();
        rules.submittedAgain(id, 422, at(1));
        breaks("forgotten: run-000001 submitted again gets 422");
        rules.broken.clear();
        rules.odd("run-000002", 422, 201);
        breaks("accepted: run-000002");
        rules.broken.clear();
        rules.odd("run-000002", 422, 400);
        breaks("wrong_refusal: run-000002");
        rules.broken.clear();
        rules.askedUnknown("run-000002", 404);
        assertThat(rules.broken).isEmpty();
        rules.askedUnknown("run-000002", 200);
        breaks("invented: run-000002");
    }

    @Test
    void aJobIsLeftWaitingBesideRoom() {
        String id = job(1, 1, SimulatedCluster.Bounds.in("b"));
        rules.waiting(machine -> true, at(1));
        rules.calm(at(2));
        rules.waiting(machine -> true, at(3));
        rules.waiting(machine -> !machine.equals("b1"), at(50));
        rules.waiting(machine -> true, at(60));
        rules.waiting(machine -> true, at(150));
        assertThat(rules.broken).isEmpty();
        rules.waiting(machine -> true, at(151));
        breaks("left_waiting: " + id);
    }

    @Test
    void aJobThatWaitsForItsTeamsLimitIsNotLeftWaiting() {
        String running = anywhere(1, 6);
        for (int i = 0; i < 6; i++) {
            rules.began("a2", running + "/" + i, at(1));
        }
        anywhere(2, 1);
        rules.calm(at(2));
        rules.waiting(machine -> true, at(3));
        rules.waiting(machine -> true, at(200));
        assertThat(rules.broken).isEmpty();
        rules.ended("a2", running + "/0", true);
        rules.waiting(machine -> true, at(201));
        rules.waiting(machine -> true, at(292));
        breaks("left_waiting: run-000002");
    }
}
