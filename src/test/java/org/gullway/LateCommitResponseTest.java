package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.gullway.FaultScenarios.seconds;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.transport.HttpClient;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.HttpRequest;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.HttpStatus;

/**
 * A controller commits the first record of a job, and the response to the commit is delayed. Meanwhile the job is
 * cancelled through another controller, and its user submits it again to the first controller. The late response must
 * not answer these submissions with a state from before the cancellation.
 */
class LateCommitResponseTest {
    private static final String JOB = "run-384079";
    private static final Duration COMMIT_RESPONSE_DELAY = Duration.ofMillis(400);
    private static final Duration WATCH_DELAY = Duration.ofMillis(1700);
    private static final Duration SUBMISSION_INTERVAL = Duration.ofMillis(5);
    private static final int SUBMISSIONS = 120;

    /** Submits and cancels the job, and records the answers to submissions after the cancellation. */
    private static final class RecordingUser {
        private final SimulatedTime time;
        private final SimulatedTime.SimulatedProcess process;
        private final HttpClient client;
        private final List<String> answersAfterCancellation = new ArrayList<>();
        private boolean cancelled;

        RecordingUser(SimulatedCluster cluster) {
            this.time = cluster.time;
            this.process = cluster.time.newProcess();
            this.client = cluster.network.client("users", process);
        }

        void submit(String address, Consumer<String> callback) {
            boolean sentAfterCancellation = cancelled;
            HttpRequest request = HttpRequest.post("/v2/runs", Cbor.encode(job().toNode()), Duration.ofSeconds(5));
            client.call(address, request, response -> {
                String answer = response.status() + " " + state(response);
                if (sentAfterCancellation) {
                    answersAfterCancellation.add(answer);
                }
                callback.accept(answer);
            });
        }

        void cancel(String address, Runnable onCancelled) {
            HttpRequest request =
                    HttpRequest.post("/v2/runs/" + JOB + "/withdraw", Cbor.encode(Cbor.map()), Duration.ofSeconds(5));
            client.call(address, request, response -> {
                if (response.status() == HttpStatus.OK) {
                    assertThat(state(response)).isEqualTo("aborted");
                    cancelled = true;
                    onCancelled.run();
                } else {
                    process.after(Duration.ofMillis(10), () -> cancel(address, onCancelled));
                }
            });
        }

        void resubmitRepeatedly(String address) {
            for (int i = 0; i < SUBMISSIONS; i++) {
                process.after(SUBMISSION_INTERVAL.multipliedBy(i), () -> submit(address, answer -> {}));
            }
        }

        void advanceTime(Duration duration) {
            time.runUntil(time.now().plus(duration));
        }

        private static String state(HttpResponse response) {
            try {
                return response.body().length == 0
                        ? ""
                        : Cbor.decode(response.body()).path("tide").asText();
            } catch (MalformedMessageException e) {
                return "unreadable";
            }
        }
    }

    private static JobRequest job() {
        return TestFixtures.request(JOB, "blue", Priority.HIGH, 3, 4);
    }

    private static boolean isCommitOfTheJob(HttpExchange exchange) {
        try {
            return exchange.path().equals("/commit")
                    && Cbor.decode(exchange.body()).path("then").toString().contains(JOB);
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    private static boolean isAnyOf(String value, String... values) {
        return List.of(values).contains(value);
    }

    /** Starts a cluster that has no machine yet, so that a cancellation ends a job at once. */
    private static SimulatedCluster clusterWithoutMachines(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.run(seconds(5));
        assertThat(cluster.leader()).isNotNull();
        return cluster;
    }

    private static void assertStaysCancelled(SimulatedCluster cluster, RecordingUser user) {
        user.advanceTime(COMMIT_RESPONSE_DELAY.plus(Duration.ofSeconds(8)));
        assertThat(user.answersAfterCancellation).contains("200 aborted");
        assertThat(user.answersAfterCancellation).allMatch(answer -> isAnyOf(answer, "200 aborted", "503 "));
        assertThat(cluster.violations).isEmpty();
    }

    /**
     * The watch first delivers the accepted job, and the controller answers the first submission. Then the watch
     * delivers the removal of the job's record. Later submissions are pending when the response to the commit of the
     * first one arrives. A commit must answer only the submissions for which it was sent.
     */
    @Property(tries = 8, seed = "231")
    void aResubmissionIsNotAnsweredByTheCommitOfTheFirstSubmission(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithoutMachines(seed);
        String delayedNode = cluster.otherNode(cluster.leader());
        String leader = cluster.leader();
        RecordingUser user = new RecordingUser(cluster);
        cluster.store.delayResponses(
                (client, exchange) -> client.equals(delayedNode) && isCommitOfTheJob(exchange), COMMIT_RESPONSE_DELAY);
        user.submit(cluster.address(delayedNode), first -> {
            assertThat(first).isEqualTo("200 pending");
            user.cancel(cluster.address(leader), () -> user.resubmitRepeatedly(cluster.address(delayedNode)));
        });
        assertStaysCancelled(cluster, user);
    }

    /**
     * Neither the watch response nor the commit response has arrived when the user submits again, so that all
     * submissions could be answered by the same commit. A request must be answered only with what was read or committed
     * after its arrival.
     */
    @Property(tries = 8, seed = "232")
    void aResubmissionThatArrivedAfterTheCommitWasSentIsNotAnsweredByIt(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithoutMachines(seed);
        String delayedNode = cluster.otherNode(cluster.leader());
        String leader = cluster.leader();
        RecordingUser user = new RecordingUser(cluster);
        cluster.store.delayResponses(
                (client, exchange) -> client.equals(delayedNode)
                        && (isCommitOfTheJob(exchange) || exchange.path().equals("/watch")),
                COMMIT_RESPONSE_DELAY);
        // Open watches end within this time. A watch that was open before the fault would be answered without delay.
        cluster.run(Duration.ofSeconds(3));
        user.submit(cluster.address(delayedNode), first -> {});
        cluster.after(
                Duration.ofMillis(100),
                () -> user.cancel(
                        cluster.address(leader), () -> user.resubmitRepeatedly(cluster.address(delayedNode))));
        assertStaysCancelled(cluster, user);
    }

    /**
     * A controller whose watch lags gets the cancellation of a job that another controller has accepted. The controller
     * must read the job once or twice and then wait for the watch. A read for each request would use up the rate limit
     * of submissions.
     */
    @Property(tries = 4, seed = "234")
    void aJobToCancelThatIsMissingFromTheClusterStateIsNotReadForEachRequest(
            @ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = clusterWithoutMachines(seed);
        String delayedNode = cluster.otherNode(cluster.leader());
        RecordingUser user = new RecordingUser(cluster);
        cluster.store.delayResponses(
                (client, exchange) ->
                        client.equals(delayedNode) && exchange.path().equals("/watch"),
                WATCH_DELAY);
        // Open watches end within this time. A watch that was open before the fault would be answered without delay.
        cluster.run(Duration.ofSeconds(3));
        cluster.storeRequests.clear();
        user.submit(
                cluster.address(cluster.leader()),
                first -> user.cancel(
                        cluster.address(delayedNode), () -> user.resubmitRepeatedly(cluster.address(delayedNode))));
        user.advanceTime(WATCH_DELAY.minusMillis(500));
        assertThat(cluster.storeRequests.jobReads(delayedNode)).isBetween(1, 2);
        assertStaysCancelled(cluster, user);
    }
}
