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

/** Every form of answer with a state is refused for now, and reported, if its evidence is older than the request. */
class LinearizableResponsesTest {
    private static final String JOB = "run-000001";
    private static final int MEASURED = 5_000;
    /** The check itself needs about 24. */
    private static final long MOST_BYTES = 200;

    private static final Instant CAME = Instant.EPOCH.plusSeconds(10);
    private static final JobStatus PENDING = new JobStatus(JOB, JobState.PENDING, 0, 0);
    private static final JobStatus CANCELLED = new JobStatus(JOB, JobState.CANCELLED, 0, 0);

    private final Map<String, JobStatus> finals = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final LinearizableResponses responses =
            new LinearizableResponses(new SimulatedTime().process(), finals::get, violations::add);
    /** The forms that can also say that there is no such job. */
    private final List<BiConsumer<UserRequest, JobLookupResult>> forms = List.of(
            (userRequest, result) -> responses.respondToQueries(List.of(userRequest), result),
            responses::respondToCancellation,
            (userRequest, result) -> responses.respondInfeasible(userRequest, result, "too large"));

    private List<BiConsumer<UserRequest, JobLookupResult>> allForms() {
        List<BiConsumer<UserRequest, JobLookupResult>> all = new ArrayList<>(forms);
        all.add(responses::respondAccepted);
        return all;
    }

    private int status(BiConsumer<UserRequest, JobLookupResult> form, JobLookupResult result) {
        List<Integer> statuses = new ArrayList<>();
        SimulatedNetwork.Message call = new SimulatedNetwork.Message(
                "users",
                "GET",
                "/v2/runs/" + JOB,
                "",
                new byte[0],
                (HttpResponse response) -> statuses.add(response.status()));
        form.accept(new UserRequest(call, CAME), result);
        assertThat(statuses).as("answered once").hasSize(1);
        return statuses.get(0);
    }

    private static JobLookupResult found(JobStatus status, Instant validFrom) {
        return new JobLookupResult(JOB, status, new ReadFreshness(ReadFreshness.Source.VERIFICATION, 7, validFrom));
    }

    @Property(tries = 60, seed = "241")
    void anAnswerIsAllowedJustIfItsEvidenceIsNotOlderThanTheRequest(
            @ForAll @IntRange(min = -5, max = 5) int millis, @ForAll boolean known) {
        JobLookupResult result = found(known ? PENDING : null, CAME.plusMillis(millis));
        for (BiConsumer<UserRequest, JobLookupResult> form : known ? allForms() : forms) {
            violations.clear();
            int status = status(form, result);
            if (millis < 0) {
                assertThat(status).isEqualTo(503);
                assertThat(violations).singleElement().asString().contains(JOB, "VERIFICATION of revision 7");
            } else {
                assertThat(status).isNotEqualTo(503);
                assertThat(violations).isEmpty();
            }
        }
    }

    @Test
    void aFinalStateIsToldWhateverItsAgeAndReplacesAnOlderFinding() {
        for (BiConsumer<UserRequest, JobLookupResult> form : allForms()) {
            assertThat(status(form, JobLookupResult.ofFinalState(CANCELLED))).isEqualTo(200);
        }
        finals.put(JOB, CANCELLED);
        for (BiConsumer<UserRequest, JobLookupResult> form : forms) {
            assertThat(status(form, found(PENDING, CAME.minus(Duration.ofSeconds(1)))))
                    .isEqualTo(200);
            assertThat(status(form, found(null, CAME.plusSeconds(1)))).isEqualTo(200);
        }
        assertThat(violations).isEmpty();
    }

    /** The check and the evidence are on the way of every answer, on controllers with a small part of a processor. */
    @Test
    void theCheckAllocatesLittleBesideTheBodyOfTheAnswer() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        SimulatedNetwork.Message call =
                new SimulatedNetwork.Message("users", "GET", "/v2/runs/" + JOB, "", new byte[0], response -> {});
        UserRequest user = new UserRequest(call, CAME);
        List<UserRequest> calls = List.of(user);
        JobLookupResult result = found(PENDING, CAME);
        long checked = 0;
        long bodies = 0;
        for (int i = -MEASURED; i < MEASURED; i++) {
            if (i == 0) {
                // Classes are loaded by now.
                checked = 0;
                bodies = 0;
            }
            long before = threads.getCurrentThreadAllocatedBytes();
            responses.respondToQueries(calls, result);
            long between = threads.getCurrentThreadAllocatedBytes();
            call.respond(200, Cbor.encode(PENDING.toNode()));
            checked += between - before;
            bodies += threads.getCurrentThreadAllocatedBytes() - between;
        }
        assertThat((checked - bodies) / MEASURED).as("bytes an answer").isLessThan(MOST_BYTES);
    }
}
