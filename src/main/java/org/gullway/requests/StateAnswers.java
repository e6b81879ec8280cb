package org.gullway.requests;

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
final class StateAnswers {
    private static final Logger LOG = LoggerFactory.getLogger(StateAnswers.class);
    private static final byte[] EMPTY = new byte[0];

    private final EventLoop loop;
    private final Function<String, JobStatus> finalState;
    private final Consumer<String> violated;

    /**
     * @param finalState the final state of a job, as far as it is known here; null for any other job
     * @param violated is told of answers that were withheld since their evidence was too old
     */
    StateAnswers(EventLoop loop, Function<String, JobStatus> finalState, Consumer<String> violated) {
        this.loop = loop;
        this.finalState = finalState;
        this.violated = violated;
    }

    /** Answers questions about one job: 200 with the whole state, or 404. */
    void answerQuestions(List<UserCall> calls, JobFinding found) {
        answer(
                calls,
                found,
                status -> status == null ? new Answer(404, EMPTY) : new Answer(200, Cbor.encode(status.toNode())));
    }

    /** Answers a submission whose job has just been recorded: 201 with the state that was committed. */
    void answerAccepted(UserCall call, JobFinding committed) {
        answer(
                List.of(call),
                committed,
                status -> new Answer(status.state().isFinal() ? 200 : 201, UserAnswers.state(status)));
    }

    /** Answers a cancellation: 200 with the final state, or 404. */
    void answerCancellation(UserCall call, JobFinding found) {
        answer(
                List.of(call),
                found,
                status -> status == null ? new Answer(404, EMPTY) : new Answer(200, UserAnswers.state(status)));
    }

    /** Answers a submission of a job that can never run: 422, unless it was accepted earlier. */
    void answerImpossible(UserCall call, JobFinding found, String reason) {
        answer(
                List.of(call),
                found,
                status -> status == null
                        ? new Answer(422, UserAnswers.error(reason))
                        : new Answer(200, Cbor.encode(status.toNode())));
    }

    private record Answer(int status, byte[] body) {}

    /** The body is made once, however many calls share the answer. */
    private void answer(List<UserCall> calls, JobFinding found, Function<JobStatus, Answer> form) {
        JobFinding newest = newest(found);
        Answer answer = form.apply(newest.status());
        for (UserCall call : calls) {
            if (newest.evidence().covers(call.came())) {
                call.call().answer(answer.status(), answer.body());
            } else {
                violated.accept(describe(newest, call));
                UserAnswers.refuse(call.call());
            }
        }
        if (LOG.isDebugEnabled() && !calls.isEmpty()) {
            UserCall last = calls.get(calls.size() - 1);
            LOG.debug("answer {} to {} requests: {}", answer.status(), calls.size(), describe(newest, last));
        }
    }

    /** A final state that has become known meanwhile replaces any other finding. */
    private JobFinding newest(JobFinding found) {
        if (found.isFinal()) {
            return found;
        }
        JobStatus end = finalState.apply(found.id());
        return end == null ? found : JobFinding.ofFinalState(end);
    }

    private String describe(JobFinding found, UserCall call) {
        Evidence evidence = found.evidence();
        Instant now = loop.now();
        String state =
                found.status() == null ? "unknown" : found.status().state().wire();
        String age = evidence.source() == Evidence.Source.FINAL_STATE
                ? ""
                : " of revision " + evidence.revision() + ", " + millis(evidence.validFrom(), now) + " ms old";
        return found.id() + " " + state + " by " + evidence.source() + age + ", asked " + millis(call.came(), now)
                + " ms ago";
    }

    private static long millis(Instant from, Instant to) {
        return Duration.between(from, to).toMillis();
    }
}
