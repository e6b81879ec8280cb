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
 * The response to a controller's own commit of a job's first record arrives only after the job has been cancelled
 * through another controller, and its user has submitted it again.
 */
class LateCommitResponseTest {
    private static final String JOB = "run-384079";
    private static final Duration COMMIT_RESPONSE_DELAY = Duration.ofMillis(400);
    private static final Duration WATCH_DELAY = Duration.ofMillis(1700);
    private static final Duration SUBMISSION_INTERVAL = Duration.ofMillis(5);
    private static final int SUBMISSIONS = 120;

    /** One user of one job, who gets every response of every controller. */
    private static final class Submitter {
        private final SimulatedTime time;
        private final SimulatedTime.SimulatedProcess process;
        private final HttpClient client;
        private final List<String> submissionsAfterCancellation = new ArrayList<>();
        private boolean cancelled;

        Submitter(SimulatedCluster cluster) {
            this.time = cluster.time;
            this.process = cluster.time.newProcess();
            this.client = cluster.network.client("users", process);
        }

        void submit(String address, Consumer<String> answered) {
            boolean after = cancelled;
            HttpRequest request = HttpRequest.post("/v2/runs", Cbor.encode(job().toNode()), Duration.ofSeconds(5));
            client.call(address, request, response -> {
                String answer = response.status() + " " + state(response);
                if (after) {
                    submissionsAfterCancellation.add(answer);
                }
                answered.accept(answer);
            });
        }

        void cancel(String address, Runnable done) {
            HttpRequest request =
                    HttpRequest.post("/v2/runs/" + JOB + "/withdraw", Cbor.encode(Cbor.map()), Duration.ofSeconds(5));
            client.call(address, request, response -> {
                if (response.status() == HttpStatus.OK) {
                    assertThat(state(response)).isEqualTo("aborted");
                    cancelled = true;
                    done.run();
                } else {
                    process.after(Duration.ofMillis(10), () -> cancel(address, done));
                }
            });
        }

        void resubmitRepeatedly(String address) {
            for (int i = 0; i < SUBMISSIONS; i++) {
                process.after(SUBMISSION_INTERVAL.multipliedBy(i), () -> submit(address, answer -> {}));
            }
        }

        void run(Duration span) {
            time.runUntil(time.now().plus(span));
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

    private static boolean commitsTheJob(HttpExchange exchange) {
        try {
            return exchange.path().equals("/commit")
                    && Cbor.decode(exchange.body()).path("then").toString().contains(JOB);
        } catch (MalformedMessageException e) {
            return false;
        }
    }

    private static boolean isOneOf(String path, String... paths) {
        return List.of(paths).contains(path);
    }

    /** A cluster before a machine is up, so that a cancellation ends a job at once. */
    private static SimulatedCluster started(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, 3);
        cluster.run(seconds(5));
        assertThat(cluster.leader()).isNotNull();
        return cluster;
    }

    private static void assertNeverReopened(SimulatedCluster cluster, Submitter user) {
        user.run(COMMIT_RESPONSE_DELAY.plus(Duration.ofSeconds(8)));
        assertThat(user.submissionsAfterCancellation).contains("200 aborted");
        assertThat(user.submissionsAfterCancellation).allMatch(answer -> isOneOf(answer, "200 aborted", "503 "));
        assertThat(cluster.violations).isEmpty();
    }

    /**
     * The watch delivers the acceptance, which answers the first submission, and then the removal; the second
     * submission is pending when the response to the commit of the first one arrives. Guards that a commit answers
     * only the requests that it was made for.
     */
    @Property(tries = 8, seed = "231")
    void aResubmissionIsNotAnsweredByTheFirstCommit(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = started(seed);
        String slow = cluster.otherNode(cluster.leader());
        String other = cluster.leader();
        Submitter user = new Submitter(cluster);
        cluster.store.delayResponses(
                (client, exchange) -> client.equals(slow) && commitsTheJob(exchange), COMMIT_RESPONSE_DELAY);
        user.submit(cluster.address(slow), first -> {
            assertThat(first).isEqualTo("200 pending");
            user.cancel(cluster.address(other), () -> user.resubmitRepeatedly(cluster.address(slow)));
        });
        assertNeverReopened(cluster, user);
    }

    /**
     * Neither the watch nor the response to the commit has arrived when the user submits again: both submissions wait
     * for the same commit. Guards that a request is answered only by what was read, or committed, after its arrival.
     */
    @Property(tries = 8, seed = "232")
    void aSubmissionThatArrivedAfterTheCommitWasSentIsNotAnsweredByIt(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = started(seed);
        String slow = cluster.otherNode(cluster.leader());
        String other = cluster.leader();
        Submitter user = new Submitter(cluster);
        cluster.store.delayResponses(
                (client, exchange) -> client.equals(slow)
                        && (commitsTheJob(exchange) || exchange.path().equals("/watch")),
                COMMIT_RESPONSE_DELAY);
        // A watch that was open before the fault would be answered without delay.
        cluster.run(Duration.ofSeconds(3));
        user.submit(cluster.address(slow), first -> {});
        cluster.after(
                Duration.ofMillis(100),
                () -> user.cancel(cluster.address(other), () -> user.resubmitRepeatedly(cluster.address(slow))));
        assertNeverReopened(cluster, user);
    }

    /**
     * A controller whose watch lags is asked to cancel a job that was accepted elsewhere. Guards that it reads the job
     * once and waits for the watch, and does not use up the rate limit of submissions by repeated reads.
     */
    @Property(tries = 4, seed = "234")
    void aCancelledJobMissingFromTheClusterStateIsReadOnce(@ForAll @IntRange(min = 1, max = 1000) int seed) {
        SimulatedCluster cluster = started(seed);
        String slow = cluster.otherNode(cluster.leader());
        Submitter user = new Submitter(cluster);
        cluster.store.delayResponses(
                (client, exchange) -> client.equals(slow) && exchange.path().equals("/watch"), WATCH_DELAY);
        // A watch that was open before the fault would be answered without delay.
        cluster.run(Duration.ofSeconds(3));
        cluster.storeRequests.clear();
        user.submit(
                cluster.address(cluster.leader()),
                first -> user.cancel(cluster.address(slow), () -> user.resubmitRepeatedly(cluster.address(slow))));
        user.run(WATCH_DELAY.minusMillis(500));
        assertThat(cluster.storeRequests.jobReads(slow)).isBetween(1, 2);
        assertNeverReopened(cluster, user);
    }
}
