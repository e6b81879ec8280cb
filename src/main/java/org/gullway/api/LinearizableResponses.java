package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.coordination.cycle.ErrorIsolation;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.ErrorMessage;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends all responses that tell a user the state of a job, or that there is no such job. To keep responses
 * linearizable, the state must be final or must be known to hold at or after the arrival of the request: otherwise a
 * user could get an older state than another user got before. A request for which the state is too old is rejected
 * temporarily, and the violated invariant is reported.
 */
final class LinearizableResponses {
    private static final Logger LOG = LoggerFactory.getLogger(LinearizableResponses.class);
    private static final Response NOT_FOUND = new Response(HttpStatus.NOT_FOUND, UserResponses.EMPTY_BODY);

    private final EventLoop loop;
    private final Function<String, Optional<JobStatus>> finalStates;
    private final Consumer<String> onViolation;

    // Responses are never compared, so the identity-based equality of the array does not matter.
    @SuppressWarnings("ArrayRecordComponent")
    private record Response(int status, byte[] body) {
        static Response withState(int status, Found result) {
            return new Response(status, UserResponses.encodeState(result.status()));
        }

        static Response withTaskCounts(Found result) {
            return new Response(HttpStatus.OK, Cbor.encode(result.status().toNode()));
        }
    }

    /**
     * @param finalStates returns the final state of a job, or empty if none is known in memory
     * @param onViolation receives a description of each response that was withheld because its state was too old
     */
    LinearizableResponses(
            EventLoop loop, Function<String, Optional<JobStatus>> finalStates, Consumer<String> onViolation) {
        this.loop = loop;
        this.finalStates = finalStates;
        this.onViolation = onViolation;
    }

    /**
     * Responds to status queries for one job: 200 with the state and the task counts, or 404 if there is no such job.
     */
    void respondToQueries(List<UserRequest> requests, JobLookupResult result) {
        JobLookupResult newest = preferFinalState(result);
        respond(requests, newest, newest instanceof Found found ? Response.withTaskCounts(found) : NOT_FOUND);
    }

    /**
     * Responds to a submission whose job has just been committed: 201 with the committed state, or 200 with the final
     * state if the job has reached one by now.
     */
    void respondAccepted(UserRequest request, Found committed) {
        Found newest =
                committed.isFinal() ? committed : finalStateOf(committed.id()).orElse(committed);
        int status = newest.isFinal() ? HttpStatus.OK : HttpStatus.CREATED;
        respond(List.of(request), newest, Response.withState(status, newest));
    }

    /** Responds to a cancellation: 200 with the final state, or 404 if there is no such job. */
    void respondToCancellation(UserRequest request, JobLookupResult result) {
        JobLookupResult newest = preferFinalState(result);
        Response response = newest instanceof Found found ? Response.withState(HttpStatus.OK, found) : NOT_FOUND;
        respond(List.of(request), newest, response);
    }

    /** Responds to a submission of a job that can never run: 422, or 200 with its status if it was accepted earlier. */
    void respondInfeasible(UserRequest request, JobLookupResult result, String reason) {
        JobLookupResult newest = preferFinalState(result);
        Response response = newest instanceof Found found
                ? Response.withTaskCounts(found)
                : new Response(HttpStatus.UNPROCESSABLE, ErrorMessage.encode(reason));
        respond(List.of(request), newest, response);
    }

    private void respond(List<UserRequest> requests, JobLookupResult result, Response response) {
        for (UserRequest request : requests) {
            // The other requests, and those that the caller responds to next, must not depend on this one.
            ErrorIsolation.run("user_response", () -> respond(request, result, response));
        }
        if (LOG.isDebugEnabled() && !requests.isEmpty()) {
            UserRequest last = requests.get(requests.size() - 1);
            LOG.debug(
                    "responded to users status={} requests={} {}",
                    response.status(),
                    requests.size(),
                    describe(result, last));
        }
    }

    private void respond(UserRequest request, JobLookupResult result, Response response) {
        if (result.freshness().isFreshFor(request.arrivedAt())) {
            request.exchange().respond(response.status(), response.body());
        } else {
            onViolation.accept("response withheld: state is older than the request " + describe(result, request));
            UserResponses.rejectTemporarily(request);
        }
    }

    /** Returns the job's final state if it has become known since the lookup, and otherwise the result itself. */
    private JobLookupResult preferFinalState(JobLookupResult result) {
        if (result.isFinal()) {
            return result;
        }
        Optional<Found> finalState = finalStateOf(result.id());
        return finalState.isPresent() ? finalState.get() : result;
    }

    private Optional<Found> finalStateOf(String id) {
        return finalStates.apply(id).map(Found::ofFinalState);
    }

    private String describe(JobLookupResult result, UserRequest request) {
        StateFreshness freshness = result.freshness();
        Instant now = loop.now();
        String state = result instanceof Found found ? found.status().state().wireName() : "not_found";
        String freshnessFields = freshness.source() == StateFreshness.Source.FINAL_STATE
                ? ""
                : " revision=" + freshness.revision() + " state_age_ms=" + millisBetween(freshness.notOlderThan(), now);
        return "job=" + result.id() + " state=" + state + " source=" + freshness.source() + freshnessFields
                + " request_age_ms=" + millisBetween(request.arrivedAt(), now);
    }

    private static long millisBetween(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }
}
