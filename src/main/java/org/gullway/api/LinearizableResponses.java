package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The only place that tells users the state of a job, or that there is no such job. An answer needs evidence that is not
 * older than the request, or a final state; a request whose answer lacks that is refused for now and reported as a
 * violated invariant.
 */
final class LinearizableResponses {
    private static final Logger LOG = LoggerFactory.getLogger(LinearizableResponses.class);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final Function<String, JobStatus> finalState;
    private final Consumer<String> violated;

    /**
     * @param finalState the final state of a job, as far as it is known here; null for any other job
     * @param violated is told of answers that were withheld since their evidence was too old
     */
    LinearizableResponses(EventLoop loop, Function<String, JobStatus> finalState, Consumer<String> violated) {
        this.loop = loop;
        this.finalState = finalState;
        this.violated = violated;
    }

    /** Answers questions about one job: 200 with the whole state, or 404. */
    void respondToQueries(List<UserRequest> calls, JobLookupResult result) {
        answer(
                calls,
                result,
                status -> status == null ? new Answer(404, EMPTY) : new Answer(200, Cbor.encode(status.toNode())));
    }

    /** Answers a submission whose job has just been recorded: 201 with the state that was committed. */
    void respondAccepted(UserRequest userRequest, JobLookupResult committed) {
        answer(
                List.of(userRequest),
                committed,
                status -> new Answer(status.state().isFinal() ? 200 : 201, UserResponses.state(status)));
    }

    /** Answers a cancellation: 200 with the final state, or 404. */
    void respondToCancellation(UserRequest userRequest, JobLookupResult result) {
        answer(
                List.of(userRequest),
                result,
                status -> status == null ? new Answer(404, EMPTY) : new Answer(200, UserResponses.state(status)));
    }

    /** Answers a submission of a job that can never run: 422, unless it was accepted earlier. */
    void respondInfeasible(UserRequest userRequest, JobLookupResult result, String reason) {
        answer(
                List.of(userRequest),
                result,
                status -> status == null
                        ? new Answer(422, UserResponses.error(reason))
                        : new Answer(200, Cbor.encode(status.toNode())));
    }

    private record Answer(int status, byte[] body) {}

    /** The body is made once, however many calls share the answer. */
    private void answer(List<UserRequest> calls, JobLookupResult result, Function<JobStatus, Answer> form) {
        JobLookupResult newest = newest(result);
        Answer answer = form.apply(newest.status());
        for (UserRequest userRequest : calls) {
            if (newest.freshness().covers(userRequest.arrivedAt())) {
                userRequest.exchange().respond(answer.status(), answer.body());
            } else {
                violated.accept(describe(newest, userRequest));
                UserResponses.rejectTemporarily(userRequest.exchange());
            }
        }
        if (LOG.isDebugEnabled() && !calls.isEmpty()) {
            UserRequest last = calls.get(calls.size() - 1);
            LOG.debug("answer {} to {} requests: {}", answer.status(), calls.size(), describe(newest, last));
        }
    }

    /** A final state that has become known meanwhile replaces any other finding. */
    private JobLookupResult newest(JobLookupResult result) {
        if (result.isFinal()) {
            return result;
        }
        JobStatus end = finalState.apply(result.id());
        return end == null ? result : JobLookupResult.ofFinalState(end);
    }

    private String describe(JobLookupResult result, UserRequest userRequest) {
        ReadFreshness freshness = result.freshness();
        Instant now = loop.now();
        String state =
                result.status() == null ? "unknown" : result.status().state().wire();
        String age = freshness.source() == ReadFreshness.Source.FINAL_STATE
                ? ""
                : " of revision " + freshness.revision() + ", " + millis(freshness.validFrom(), now) + " ms old";
        return result.id() + " " + state + " by " + freshness.source() + age + ", asked "
                + millis(userRequest.arrivedAt(), now) + " ms ago";
    }

    private static long millis(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }
}
