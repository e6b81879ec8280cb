package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only place that responds to users with the state of a job, or with its absence. The state must be final or known
 * to hold no earlier than the request's arrival, so that no user gets an older state than another has got before. A
 * request for which that is not so is rejected temporarily, and reported as a violated invariant.
 */
final class LinearizableResponses {
    private static final Logger LOG = LoggerFactory.getLogger(LinearizableResponses.class);
    private static final Response NOT_FOUND = new Response(HttpStatus.NOT_FOUND, UserResponses.EMPTY_BODY);

    private final EventLoop loop;
    private final Function<String, Optional<JobStatus>> finalStates;
    private final Consumer<String> onViolation;

    // Bodies are passed on and never compared.
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
     * @param finalStates the final state of a job, if it is known to have one
     * @param onViolation receives a description of each response that was withheld since its state was too old
     */
    LinearizableResponses(
            EventLoop loop, Function<String, Optional<JobStatus>> finalStates, Consumer<String> onViolation) {
        this.loop = loop;
        this.finalStates = finalStates;
        this.onViolation = onViolation;
    }

    /** Responds to status queries for one job: 200 with the whole status, or 404. */
    void respondToQueries(List<UserRequest> requests, JobLookupResult result) {
        JobLookupResult newest = preferFinalState(result);
        respond(requests, newest, newest instanceof Found found ? Response.withTaskCounts(found) : NOT_FOUND);
    }

    /** Responds to a submission whose job has just been recorded: 201 with the state that was committed. */
    void respondAccepted(UserRequest request, Found committed) {
        Found newest =
                committed.isFinal() ? committed : finalStateOf(committed.id()).orElse(committed);
        int status = newest.isFinal() ? HttpStatus.OK : HttpStatus.CREATED;
        respond(List.of(request), newest, Response.withState(status, newest));
    }

    /** Responds to a cancellation: 200 with the final state, or 404. */
    void respondToCancellation(UserRequest request, JobLookupResult result) {
        JobLookupResult newest = preferFinalState(result);
        Response response = newest instanceof Found found ? Response.withState(HttpStatus.OK, found) : NOT_FOUND;
        respond(List.of(request), newest, response);
    }

    /** Responds to a submission of a job that can never run: 422, unless it was accepted earlier. */
    void respondInfeasible(UserRequest request, JobLookupResult result, String reason) {
        JobLookupResult newest = preferFinalState(result);
        Response response = newest instanceof Found found
                ? Response.withTaskCounts(found)
                : new Response(HttpStatus.UNPROCESSABLE, UserResponses.encodeError(reason));
        respond(List.of(request), newest, response);
    }

    private void respond(List<UserRequest> requests, JobLookupResult result, Response response) {
        for (UserRequest request : requests) {
            if (result.freshness().isFreshFor(request.arrivedAt())) {
                request.exchange().respond(response.status(), response.body());
            } else {
                onViolation.accept(describe(result, request));
                UserResponses.rejectTemporarily(request);
            }
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

    /** A final state that has become known in the time since replaces any other result. */
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
        ReadFreshness freshness = result.freshness();
        Instant now = loop.now();
        String state = result instanceof Found found ? found.status().state().wire() : "not_found";
        String age = freshness.source() == ReadFreshness.Source.FINAL_STATE
                ? ""
                : " revision=" + freshness.revision() + " state_age_ms=" + millisBetween(freshness.validFrom(), now);
        return "job=" + result.id() + " state=" + state + " source=" + freshness.source() + age + " request_age_ms="
                + millisBetween(request.arrivedAt(), now);
    }

    private static long millisBetween(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }
}
