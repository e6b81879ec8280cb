package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.gullway.AnswerLog.Kind;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Rank;
import org.gullway.transport.Client;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Users ask many times as often: answers stay correct, cost the state service no more than the part of questions, hold
 * up neither submissions nor cancellations nor reports, and what cannot be answered is refused as soon as that is clear.
 *
 * <p>Each test has been seen to fail without the mechanism that its comment names; the first one without the budget of
 * verifications.
 */
class QuestionLoadTest {
    /** What one of three controllers may ask of the state service. */
    private static final double OWN_REQUESTS = StateRequests.PER_SECOND / 3.0;

    private static final double VERIFICATIONS_PART = 0.075;
    private static final double QUESTION_READS_PART = 0.12;
    private static final double REQUEST_READS_PART = 0.06;
    /** A user waits 2 s for an answer. */
    private static final Duration QUESTION_LIMIT = Duration.ofMillis(1300);

    /** How the state service is while the users ask. */
    private enum StateService {
        NORMAL {
            @Override
            void begin(SimulatedWorld world) {}
        },
        SLOW {
            @Override
            void begin(SimulatedWorld world) {
                world.store.slow(600, world.random.split());
            }
        },
        REFUSES_ONE {
            @Override
            void begin(SimulatedWorld world) {
                world.store.refuseFrom("perch-1", true);
            }
        },
        OUT {
            @Override
            void begin(SimulatedWorld world) {
                world.store.setDown(true);
            }
        };

        abstract void begin(SimulatedWorld world);
    }

    private static final Duration TROUBLE = Duration.ofSeconds(30);

    private static SimulatedWorld world(int seed, int jobs, Duration runTime) {
        SimulatedWorld world = new SimulatedWorld(seed, 0, 3);
        world.stateRequests.limit();
        for (int i = 1; i <= jobs; i++) {
            world.submit(i, i % 3 == 0 ? "red" : "blue", Rank.values()[i % 4], 1 + i % 2, 2, runTime);
        }
        world.run(Duration.ofSeconds(25));
        return world;
    }

    /** Work that comes in the middle of the questions: a job each second, and some cancellations. */
    private static List<User> moreWork(SimulatedWorld world, int first, int jobs) {
        List<User> users = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            int number = first + i;
            world.after(Duration.ofMillis(1000L * i + 137), () -> {
                User user = world.submit(
                        number, number % 2 == 0 ? "red" : "blue", Rank.NORMAL, 2, 2, Duration.ofSeconds(6));
                users.add(user);
                if (number % 5 == 0) {
                    world.after(Duration.ofSeconds(3), user::cancel);
                }
            });
        }
        return users;
    }

    private static Duration longest(Stream<Duration> durations) {
        return durations.max(Comparator.naturalOrder()).orElse(Duration.ZERO);
    }

    private static Duration longest(SimulatedWorld world, Kind kind) {
        Instant now = world.time.now();
        return longest(world.answers.of(kind).stream().map(entry -> entry.took(now)));
    }

    private static long count(SimulatedWorld world, Kind kind, int status) {
        return world.answers.of(kind).stream()
                .filter(entry -> entry.status() == status)
                .count();
    }

    /** Each controller keeps to the part of its requests that questions have, for the time since the counts began. */
    private static void assertWithinPart(SimulatedWorld world, Duration span) {
        double seconds = span.toMillis() / 1000.0;
        double verifications = VERIFICATIONS_PART * OWN_REQUESTS;
        double reads = (QUESTION_READS_PART + REQUEST_READS_PART) * OWN_REQUESTS;
        for (String node : world.nodes()) {
            assertThat((double) world.stateRequests.verifications(node))
                    .as("verifications of %s", node)
                    .isLessThanOrEqualTo(verifications * (seconds + 1) + 1);
            assertThat((double) world.stateRequests.reads(node))
                    .as("readings of %s", node)
                    .isLessThanOrEqualTo(reads * (seconds + 1) + 4);
        }
    }

    /** All questions were answered in time, and those that were refused heard when to come back. */
    private static void assertQuestionsAnsweredInTime(SimulatedWorld world) {
        assertThat(longest(world, Kind.QUESTION)).isLessThan(QUESTION_LIMIT);
        // What came at the very end has no answer yet, which is 0 here; the time above holds for it too.
        assertThat(world.answers.of(Kind.QUESTION).stream().map(AnswerLog.Entry::status))
                .isSubsetOf(0, 200, 503);
        assertThat(world.answers.of(Kind.QUESTION).stream()
                        .filter(entry -> entry.saysWhenToComeBack() != (entry.status() == 503)))
                .isEmpty();
    }

    private static void assertReportsAnsweredAtOnce(SimulatedWorld world) {
        assertThat(world.answers.of(Kind.REPORT)).isNotEmpty();
        assertThat(longest(world, Kind.REPORT)).isLessThan(Duration.ofMillis(50));
    }

    static Stream<Arguments> loads() {
        return Stream.of(10, 50)
                .flatMap(times -> Stream.of(StateService.values()).map(state -> Arguments.of(times, state)));
    }

    @ParameterizedTest
    @MethodSource("loads")
    void questionsStayCorrectAndCheap(int times, StateService state) {
        SimulatedWorld calm = day(1, state);
        SimulatedWorld world = day(times, state);
        Duration usual = longest(calm.users().stream().map(User::acceptedAfter));
        Duration now = longest(world.users().stream().map(User::acceptedAfter));
        // A user whose submission meets a commit that fails submits again a second later, and perhaps a second time.
        assertThat(now).isLessThanOrEqualTo(usual.plusMillis(2200));
        if (state == StateService.NORMAL) {
            assertThat(now).isLessThanOrEqualTo(usual.plusMillis(150));
            assertThat(count(world, Kind.QUESTION, 503)).isZero();
        }
        if (state == StateService.SLOW) {
            // Where each request is slow by chance, single delays differ from day to day whatever users ask.
            assertThat(mean(world)).isLessThanOrEqualTo(mean(calm).plusMillis(150));
            assertThat(100 * count(world, Kind.QUESTION, 503)).isLessThan(count(world, Kind.QUESTION, 200));
        }
        assertThat(count(world, Kind.QUESTION, 200))
                .as("answers beside those of a usual day")
                .isGreaterThan(times / 2 * count(calm, Kind.QUESTION, 200));
    }

    private static Duration mean(SimulatedWorld world) {
        List<Duration> all = world.users().stream().map(User::acceptedAfter).toList();
        return all.stream().reduce(Duration.ZERO, Duration::plus).dividedBy(all.size());
    }

    /** A day with so many times as many questions; what holds for every such day is checked here. */
    private static SimulatedWorld day(int times, StateService state) {
        SimulatedWorld world = world(7, 12, Duration.ofSeconds(40));
        world.answers.clear();
        world.stateRequests.clear();
        world.askTimesAsOften(times);
        moreWork(world, 100, 30);
        state.begin(world);
        world.run(TROUBLE);
        assertQuestionsAnsweredInTime(world);
        assertReportsAnsweredAtOnce(world);
        assertWithinPart(world, TROUBLE);
        world.calm();
        world.run(Duration.ofSeconds(120));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
        return world;
    }

    // One mechanism each

    private static void ask(SimulatedWorld world, String node, String id) {
        send(world, node, HttpRequest.get("/v2/runs/" + id, Duration.ofSeconds(2)), reply -> {});
    }

    private static void send(SimulatedWorld world, String node, HttpRequest request, Consumer<Reply> callback) {
        Client client = world.network.client("users", world.time.process());
        client.call(world.address(node), request, callback);
    }

    private static SimulatedWorld quietWorld(int jobs) {
        SimulatedWorld world = world(11, jobs, Duration.ofSeconds(200));
        world.run(Duration.ofMillis(500));
        world.answers.clear();
        world.stateRequests.clear();
        return world;
    }

    /** Without the joining of questions about one job, many of them are refused: the queue seems to be too long. */
    @Test
    void aThousandQuestionsAboutOneJobCostOneVerification() {
        SimulatedWorld world = quietWorld(1);
        for (int i = 0; i < 1000; i++) {
            ask(world, "perch-0", "run-000001");
        }
        world.run(Duration.ofMillis(1500));
        assertThat(count(world, Kind.QUESTION, 200)).isGreaterThanOrEqualTo(1000);
        assertThat(count(world, Kind.QUESTION, 503)).isZero();
        assertThat(world.stateRequests.verifications("perch-0")).isLessThanOrEqualTo(3);
    }

    /** Without the estimate of the wait, questions are held for more than a second and then refused. */
    @Test
    void questionsThatCannotBeVerifiedInTimeAreRefusedAtOnce() {
        SimulatedWorld world = quietWorld(1);
        for (int i = 0; i < 5000; i++) {
            ask(world, "perch-0", "run-" + (500_000 + i));
        }
        world.run(Duration.ofSeconds(2));
        assertThat(count(world, Kind.QUESTION, 404)).isGreaterThan(150);
        assertThat(longest(world, Kind.QUESTION)).isLessThan(QUESTION_LIMIT);
        Duration refusedWithin = longest(world.answers.of(Kind.QUESTION).stream()
                .filter(entry -> entry.status() == 503)
                .map(entry -> entry.took(world.time.now())));
        assertThat(count(world, Kind.QUESTION, 503)).isGreaterThan(3000);
        assertThat(refusedWithin).isLessThan(Duration.ofMillis(50));
        assertThat(world.stateRequests.reads("perch-0"))
                .as("no job is read one by one")
                .isZero();
        assertWithinPart(world, Duration.ofSeconds(2));
    }

    /** Without the limit of time of a query they wait for the 3 s of a request to the state service. */
    @Test
    void questionsAreRefusedInTimeWhenTheStateServiceKeepsSilent() {
        SimulatedWorld world = quietWorld(1);
        world.network.cut("perch-0", SimulatedWorld.stateAddress());
        for (int i = 0; i < 20; i++) {
            world.after(Duration.ofMillis(150L * i), () -> ask(world, "perch-0", "run-000001"));
        }
        world.run(Duration.ofSeconds(5));
        assertThat(count(world, Kind.QUESTION, 503)).isGreaterThanOrEqualTo(20);
        assertThat(longest(world, Kind.QUESTION)).isLessThan(QUESTION_LIMIT);
    }

    /** If a refusal of the state service were taken for a busy moment, they would be asked again for 1.2 s. */
    @Test
    void questionsAreRefusedAsSoonAsTheStateServiceHasRefused() {
        SimulatedWorld world = quietWorld(1);
        world.store.setDown(true);
        ask(world, "perch-0", "run-000001");
        world.run(Duration.ofSeconds(2));
        assertThat(count(world, Kind.QUESTION, 503)).isPositive();
        assertThat(longest(world, Kind.QUESTION)).isLessThan(Duration.ofMillis(200));
    }

    /**
     * Without the budget of readings, all of them go out at once; if cancellations had no budget of their own, one of
     * a job that is over would wait behind them.
     */
    @Test
    void controllersThatForgotWhichJobsAreOverReadThemWithinTheirPart() {
        SimulatedWorld world = world(13, 40, Duration.ofSeconds(3));
        world.run(Duration.ofSeconds(60));
        assertThat(world.unfinished()).isEmpty();
        world.nodes().forEach(node -> world.crash(node, Duration.ofMillis(100)));
        world.run(Duration.ofSeconds(10));
        world.answers.clear();
        world.stateRequests.clear();
        for (int i = 0; i < 150; i++) {
            world.after(Duration.ofMillis(100L * i), () -> world.users()
                    .forEach(user -> ask(world, "perch-0", user.request.id())));
        }
        world.run(Duration.ofMillis(1000));
        double reads = QUESTION_READS_PART * OWN_REQUESTS;
        assertThat((double) world.stateRequests.reads("perch-0")).isBetween(reads, 2 * reads + 1);
        List<String> unanswered = new ArrayList<>();
        world.users().get(39).cancelOnce(world.address("perch-0"), () -> unanswered.add("cancellation"));
        world.run(Duration.ofSeconds(14));
        assertThat(unanswered).isEmpty();
        assertThat(longest(world, Kind.CANCELLATION))
                .as("it has a budget of its own")
                .isLessThan(Duration.ofMillis(100));
        assertWithinPart(world, Duration.ofSeconds(15));
        assertThat(world.stateRequests.reads("perch-0")).as("each once").isLessThanOrEqualTo(42);
        assertThat(count(world, Kind.QUESTION, 200)).isGreaterThan(2000);
        assertQuestionsAnsweredInTime(world);
        assertThat(world.broken).isEmpty();
    }

    /** Without their own queue, repeated submissions are refused with the questions, or wait behind them. */
    @Test
    void submissionsAndCancellationsDoNotWaitBehindQuestions() {
        SimulatedWorld world = quietWorld(2);
        for (int i = 0; i < 3000; i++) {
            ask(world, "perch-0", "run-" + (500_000 + i));
        }
        world.run(Duration.ofMillis(20));
        List<Integer> statuses = new ArrayList<>();
        User known = world.users().get(0);
        byte[] again = Cbor.encode(known.request.toNode());
        byte[] impossible =
                Cbor.encode(known.request.toNode().put("name_id", "run-700000").put("cpus", 1000));
        for (byte[] body : List.of(again, impossible)) {
            send(
                    world,
                    "perch-0",
                    HttpRequest.post("/v2/runs", body, Duration.ofSeconds(5)),
                    reply -> statuses.add(reply.status()));
        }
        world.users().get(1).cancelOnce(world.address("perch-0"), () -> statuses.add(0));
        world.run(Duration.ofMillis(600));
        assertThat(statuses).containsExactlyInAnyOrder(200, 422);
        assertThat(world.rules.told("run-000002")).isEqualTo("aborted");
        assertThat(longest(world, Kind.SUBMISSION)).isLessThan(Duration.ofMillis(400));
        assertThat(longest(world, Kind.CANCELLATION)).isLessThan(Duration.ofMillis(400));
    }

    /**
     * Users ask all controllers again and again within milliseconds around the ends and cancellations of their jobs,
     * while the state service is slow. If a question could join a verification that is under way, some would be told
     * an older state than another controller has told.
     */
    @Test
    void closeQuestionsToAllControllersAreNeverAnsweredWithAnOlderState() {
        SimulatedWorld world = new SimulatedWorld(17, 0, 3);
        world.store.slow(500, world.random.split());
        for (int i = 1; i <= 24; i++) {
            int number = i;
            User user = world.submit(
                    i, i % 3 == 0 ? "red" : "blue", Rank.values()[i % 4], 1, 2, Duration.ofMillis(4000 + 500L * i));
            if (i % 2 == 0) {
                world.after(Duration.ofSeconds(10 + i), user::cancel);
            }
            for (int j = 0; j < 1200; j++) {
                world.after(Duration.ofMillis(9000 + 20L * j + number), user::askEverywhere);
            }
        }
        world.run(Duration.ofSeconds(60));
        world.calm();
        world.run(Duration.ofSeconds(120));
        assertThat(world.broken).isEmpty();
        assertThat(world.unfinished()).isEmpty();
    }
}
