package org.gullway.api;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

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
import java.util.function.Consumer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

/**
 * A response of any kind that contains a job's state, or reports its absence, is withheld if that information is older
 * than the request, and the withheld response is reported as a violation.
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
            new SimulatedTime().newProcess(), id -> Optional.ofNullable(finalStates.get(id)), violations::add);
    /** Functions that respond to a request with a lookup result, and that also accept the result "not found". */
    private final List<BiConsumer<UserRequest, JobLookupResult>> notFoundResponders = List.of(
            (request, result) -> responses.respondToQueries(List.of(request), result),
            responses::respondToCancellation,
            (request, result) -> responses.respondInfeasible(request, result, "too large"));

    private List<BiConsumer<UserRequest, JobLookupResult>> allResponders() {
        List<BiConsumer<UserRequest, JobLookupResult>> all = new ArrayList<>(notFoundResponders);
        all.add((request, result) -> responses.respondAccepted(request, (JobLookupResult.Found) result));
        return all;
    }

    private int respondAndGetStatus(BiConsumer<UserRequest, JobLookupResult> responder, JobLookupResult result) {
        List<Integer> statuses = new ArrayList<>();
        responder.accept(request(response -> statuses.add(response.status())), result);
        assertThat(statuses).as("exactly one response").hasSize(1);
        return statuses.get(0);
    }

    /** Guards against users who get no response because the one to another user fails. */
    @Test
    void exceptionOfOneResponseDoesNotKeepOthersFromBeingSent() {
        List<Integer> statuses = new ArrayList<>();
        List<UserRequest> requests = List.of(
                request(response -> {
                    throw new IllegalStateException("expected test failure");
                }),
                request(response -> statuses.add(response.status())));
        Throwable thrown = catchThrowable(() -> responses.respondToQueries(requests, found(ARRIVED_AT)));
        assertThat(statuses).containsExactly(200);
        assertThat(thrown).isNull();
    }

    private static UserRequest request(Consumer<HttpResponse> onResponse) {
        return new UserRequest(
                new SimulatedNetwork.Message("users", "GET", "/v2/runs/" + JOB, "", new byte[0], onResponse),
                ARRIVED_AT);
    }

    private static StateFreshness freshness(Instant notOlderThan) {
        return new StateFreshness(StateFreshness.Source.VERSION_CHECK, Count.of(7), notOlderThan);
    }

    private static JobLookupResult found(Instant notOlderThan) {
        return new JobLookupResult.Found(PENDING, freshness(notOlderThan));
    }

    private static JobLookupResult notFound(Instant notOlderThan) {
        return new JobLookupResult.NotFound(JOB, freshness(notOlderThan));
    }

    @Property(tries = 60, seed = "241")
    void responseIsSentOnlyIfItsStateIsNotOlderThanTheRequest(
            @ForAll @IntRange(min = -5, max = 5) int millis, @ForAll boolean found) {
        JobLookupResult result = found ? found(ARRIVED_AT.plusMillis(millis)) : notFound(ARRIVED_AT.plusMillis(millis));
        for (BiConsumer<UserRequest, JobLookupResult> responder : found ? allResponders() : notFoundResponders) {
            violations.clear();
            int status = respondAndGetStatus(responder, result);
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
        for (BiConsumer<UserRequest, JobLookupResult> responder : allResponders()) {
            assertThat(respondAndGetStatus(responder, JobLookupResult.Found.ofFinalState(CANCELLED)))
                    .isEqualTo(200);
        }
        finalStates.put(JOB, CANCELLED);
        for (BiConsumer<UserRequest, JobLookupResult> responder : notFoundResponders) {
            assertThat(respondAndGetStatus(responder, found(ARRIVED_AT.minus(Duration.ofSeconds(1)))))
                    .isEqualTo(200);
            assertThat(respondAndGetStatus(responder, notFound(ARRIVED_AT.plusSeconds(1))))
                    .isEqualTo(200);
        }
        assertThat(violations).isEmpty();
    }

    /**
     * The freshness check runs for every response, on controllers that have only a small fraction of a processor, so it
     * must not allocate much memory.
     */
    @Test
    void freshnessCheckAllocatesLittleMemoryInAdditionToTheResponseBody() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        SimulatedNetwork.Message exchange =
                new SimulatedNetwork.Message("users", "GET", "/v2/runs/" + JOB, "", new byte[0], response -> {});
        UserRequest request = new UserRequest(exchange, ARRIVED_AT);
        List<UserRequest> requests = List.of(request);
        JobLookupResult result = found(ARRIVED_AT);
        long allocatedByResponses = 0;
        long allocatedByBodies = 0;
        for (int i = -MEASURED_RESPONSES; i < MEASURED_RESPONSES; i++) {
            if (i == 0) {
                // The first half is the warm-up: now all classes are loaded.
                allocatedByResponses = 0;
                allocatedByBodies = 0;
            }
            long before = threads.getCurrentThreadAllocatedBytes();
            responses.respondToQueries(requests, result);
            long between = threads.getCurrentThreadAllocatedBytes();
            exchange.respond(200, Cbor.encode(PENDING.toNode()));
            allocatedByResponses += between - before;
            allocatedByBodies += threads.getCurrentThreadAllocatedBytes() - between;
        }
        assertThat((allocatedByResponses - allocatedByBodies) / MEASURED_RESPONSES)
                .as("bytes allocated per response")
                .isLessThan(MAX_BYTES_PER_RESPONSE);
    }
}
