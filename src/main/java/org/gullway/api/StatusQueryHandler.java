package org.gullway.api;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.api.StatusQuery.Origin;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;

/**
 * Handles status queries from users. A final state that is known in memory is sent without a request to the state
 * store. Any other state, or the absence of the job, is sent only after the state store has confirmed that the state is
 * the newest. Queries for the same job share a response, and one request to the state store serves many jobs, so the
 * load on the state store does not grow with the number of queries. A query is rejected on arrival if the cluster state
 * is not fresh or if the query would probably time out, and otherwise after {@link #TIMEOUT} at the latest.
 */
final class StatusQueryHandler {
    /** Time after which a query is rejected; shorter than the 2 s after which a user's status query times out. */
    private static final Duration TIMEOUT = Duration.ofMillis(1200);

    private static final int MAX_REPEATED_SUBMISSIONS = 500;

    private final RequestContext context;
    private final ReplicatedState replicatedState;
    private final StatusQueryQueue queue = new StatusQueryQueue();
    private final StatusVerifier verifier;

    /**
     * @param conditionsPerTransaction maximum number of key versions that one request to the state store can compare
     */
    StatusQueryHandler(RequestContext context, JobLookup jobLookup, int conditionsPerTransaction) {
        this.context = context;
        this.replicatedState = context.replicatedState();
        this.verifier = new StatusVerifier(context, jobLookup, queue, conditionsPerTransaction);
    }

    /** Responds to a status query, immediately or after the state store has confirmed the job's state. */
    void query(String id, UserRequest request) {
        if (!JobRequest.isValidId(id)) {
            UserResponses.rejectInvalidId(request);
            return;
        }
        Optional<JobStatus> finalState = context.finalStates().find(id);
        if (finalState.isPresent()) {
            context.metrics().statusQueriesAnswered(1);
            respondFinal(request, finalState.get());
        } else if (!replicatedState.isFresh() || (queue.findJoinable(id).isEmpty() && verifier.isOverloaded(TIMEOUT))) {
            context.metrics().statusQueriesRejected(1);
            UserResponses.rejectTemporarily(request);
        } else {
            queue.findJoinable(id).orElseGet(() -> enqueueJoinable(id)).add(request);
            verifier.scheduleCheck();
        }
    }

    /**
     * Responds to a submission of a job that already exists with the job's current state, or with 503. If the state has
     * to be confirmed first, its version check takes precedence over those of queued status requests.
     */
    void respondToRepeatedSubmission(String id, UserRequest request) {
        Optional<JobStatus> finalState = context.finalStates().find(id);
        if (finalState.isPresent()) {
            respondFinal(request, finalState.get());
        } else if (!replicatedState.isFresh() || queue.repeatedSubmissionCount() >= MAX_REPEATED_SUBMISSIONS) {
            UserResponses.rejectTemporarily(request);
        } else {
            enqueue(id, Origin.REPEATED_SUBMISSION).add(request);
            verifier.scheduleCheck();
        }
    }

    private void respondFinal(UserRequest request, JobStatus finalState) {
        context.responses().respondToQueries(List.of(request), Found.ofFinalState(finalState));
    }

    private StatusQuery enqueueJoinable(String id) {
        StatusQuery query = enqueue(id, Origin.STATUS_REQUEST);
        queue.allowJoining(query);
        return query;
    }

    private StatusQuery enqueue(String id, Origin origin) {
        StatusQuery query = new StatusQuery(id, origin, verifier.keyCount(id), context.responses(), context.metrics());
        queue.addLast(query);
        query.setTimeoutCancellation(context.loop().after(TIMEOUT, () -> {
            queue.disallowJoining(query);
            query.reject();
        }));
        return query;
    }
}
