package org.gullway.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/**
 * Every kind of response that contains a job's state, or reports its absence, is withheld if that state is older than
 * the request, and the withheld response is reported as a violation.
 */
class LinearizableResponsesTest {
    private static final String JOB = "run-000001";
    private static final int MEASURED_RESPONSES = 5_000;
    private static final long MAX_BYTES_PER_RESPONSE = 200;

    private static final Instant ARRIVED_AT = Instant.EPOCH.plusSeconds(10);
    private static final JobStatus PENDING = new JobStatus(JOB, JobState.PENDING, 0, 0);
    private static final JobStatus CANCELLED = new JobStatus(JOB, JobState.CANCELLED, 0, 0);

    private final Map<String, JobStatus> finalStates = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final LinearizableResponses responses = new LinearizableResponses(
            new SimulatedTime().process(), id -> Optional.ofNullable(finalStates.get(id)), violations::add);
    /** The kinds of responses that can also report that there is no such job. */
    private final List<BiConsumer<UserRequest, JobLookupResult>> kindsAllowingNotFound = List.of(
            (request, result) -> responses.respondToQueries(List.of(request), result),
            responses::respondToCancellation,
            (request, result) -> responses.respondInfeasible(request, result, "too large"));

    private List<BiConsumer<UserRequest, JobLookupResult>> allKinds() {
        List<BiConsumer<UserRequest, JobLookupResult>> all = new ArrayList<>(kindsAllowingNotFound);
        all.add((request, result) -> responses.respondAccepted(request, (JobLookupResult.Found) result));
        return all;
    }

    private int status(BiConsumer<UserRequest, JobLookupResult> kind, JobLookupResult result) {
        List<Integer> statuses = new ArrayList<>();
        SimulatedNetwork.Message exchange = new SimulatedNetwork.Message(
                "users",
                "GET",
                "/v2/runs/" + JOB,
                "",
                new byte[0],
                (HttpResponse response) -> statuses.add(response.status()));
        kind.accept(new UserRequest(exchange, ARRIVED_AT), result);
        assertThat(statuses).as("exactly one response").hasSize(1);
        return statuses.get(0);
    }

    private static StateFreshness confirmedFrom(Instant notOlderThan) {
        return new StateFreshness(StateFreshness.Source.VERSION_CHECK, 7, notOlderThan);
    }

    private static JobLookupResult found(Instant notOlderThan) {
        return new JobLookupResult.Found(PENDING, confirmedFrom(notOlderThan));
    }

    private static JobLookupResult notFound(Instant notOlderThan) {
        return new JobLookupResult.NotFound(JOB, confirmedFrom(notOlderThan));
    }

    @Property(tries = 60, seed = "241")
    void responseIsSentOnlyIfItsStateIsNotOlderThanTheRequest(
            @ForAll @IntRange(min = -5, max = 5) int millis, @ForAll boolean known) {
        JobLookupResult result = known ? found(ARRIVED_AT.plusMillis(millis)) : notFound(ARRIVED_AT.plusMillis(millis));
        for (BiConsumer<UserRequest, JobLookupResult> kind : known ? allKinds() : kindsAllowingNotFound) {
            violations.clear();
            int status = status(kind, result);
            if (millis < 0) {
                assertThat(status).isEqualTo(503);
                assertThat(violations)
                        .singleElement()
                        .asString()
                        .contains("job=" + JOB, "source=VERSION_CHECK revision=7");
            } else {
                assertThat(status).isNotEqualTo(503);
                assertThat(violations).isEmpty();
            }
        }
    }

    @Test
    void finalStateIsSentRegardlessOfItsAgeAndReplacesAnOlderResult() {
        for (BiConsumer<UserRequest, JobLookupResult> kind : allKinds()) {
            assertThat(status(kind, JobLookupResult.Found.ofFinalState(CANCELLED)))
                    .isEqualTo(200);
        }
        finalStates.put(JOB, CANCELLED);
        for (BiConsumer<UserRequest, JobLookupResult> kind : kindsAllowingNotFound) {
            assertThat(status(kind, found(ARRIVED_AT.minus(Duration.ofSeconds(1)))))
                    .isEqualTo(200);
            assertThat(status(kind, notFound(ARRIVED_AT.plusSeconds(1)))).isEqualTo(200);
        }
        assertThat(violations).isEmpty();
    }

    /** The freshness check runs for every response, on controllers that have only a small fraction of a processor. */
    @Test
    void freshnessCheckAllocatesLittleMemoryBesideTheResponseBody() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        SimulatedNetwork.Message exchange =
                new SimulatedNetwork.Message("users", "GET", "/v2/runs/" + JOB, "", new byte[0], response -> {});
        UserRequest request = new UserRequest(exchange, ARRIVED_AT);
        List<UserRequest> requests = List.of(request);
        JobLookupResult result = found(ARRIVED_AT);
        long responseBytes = 0;
        long bodyBytes = 0;
        for (int i = -MEASURED_RESPONSES; i < MEASURED_RESPONSES; i++) {
            if (i == 0) {
                // The first half is the warm-up: now all classes are loaded.
                responseBytes = 0;
                bodyBytes = 0;
            }
            long before = threads.getCurrentThreadAllocatedBytes();
            responses.respondToQueries(requests, result);
            long between = threads.getCurrentThreadAllocatedBytes();
            exchange.respond(200, Cbor.encode(PENDING.toNode()));
            responseBytes += between - before;
            bodyBytes += threads.getCurrentThreadAllocatedBytes() - between;
        }
        assertThat((responseBytes - bodyBytes) / MEASURED_RESPONSES)
                .as("bytes allocated per response")
                .isLessThan(MAX_BYTES_PER_RESPONSE);
    }
}
