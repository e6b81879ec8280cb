package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/** Users' cancellations from their arrival until they are on record and their users have been told so. */
final class CancellationHandler {
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int MOST_PENDING = 500;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final FinalStateCache finalStates;
    private final JobLookup jobLookup;
    private final LinearizableResponses responses;
    private final Runnable changed;
    private final Map<String, Cancellation> pending = new LinkedHashMap<>();

    /**
     * A cancellation that waits to be recorded.
     *
     * @param readAt revision at which the job was read, since the view lacked it; 0 if the view had it
     */
    private record Cancellation(String id, Instant came, long readAt, List<UserRequest> calls) {}

    /** @param changed asks for a round of decisions */
    CancellationHandler(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            FinalStateCache finalStates,
            JobLookup jobLookup,
            LinearizableResponses responses,
            Runnable changed) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.replicatedState = replicatedState;
        this.finalStates = finalStates;
        this.jobLookup = jobLookup;
        this.responses = responses;
        this.changed = changed;
    }

    /** Cancels the job and answers when that is on record, or at once if it is over or nobody knows it. */
    void cancel(String id, UserRequest userRequest) {
        if (!JobRequest.isValidId(id)) {
            UserResponses.rejectInvalidId(userRequest.exchange());
        } else if (!replicatedState.holdsValidLease()) {
            UserResponses.rejectTemporarily(userRequest.exchange());
        } else if (pending.size() >= MOST_PENDING) {
            userRequest.exchange().reject(429, UserResponses.RETRY_AFTER);
        } else if (clusterState.job(id) == null) {
            jobLookup.lookUp(
                    id,
                    result -> cancelFound(result, userRequest),
                    () -> UserResponses.rejectTemporarily(userRequest.exchange()));
        } else {
            enqueue(id, userRequest, 0);
        }
    }

    private void cancelFound(JobLookupResult result, UserRequest userRequest) {
        if (result.status() == null || result.isFinal()) {
            responses.respondToCancellation(userRequest, result);
        } else {
            enqueue(result.id(), userRequest, result.freshness().revision());
        }
    }

    private void enqueue(String id, UserRequest userRequest, long readAt) {
        pending.computeIfAbsent(id, i -> new Cancellation(i, loop.now(), readAt, new ArrayList<>()))
                .calls()
                .add(userRequest);
        changed.run();
    }

    /** Adds the cancellations that wait to the draft, as far as it has room. */
    void plan(Transaction transaction) {
        for (Cancellation cancellation : pending.values()) {
            JobRecord job = transaction.job(cancellation.id());
            if (job != null && !job.isCancelled() && transaction.hasCapacityFor(2)) {
                transaction.putJob(job.withCancellation(transaction.timeOfDay()));
            }
        }
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    void completePending() {
        Instant now = loop.now();
        boolean holdsValidLease = replicatedState.holdsValidLease();
        for (String id : List.copyOf(pending.keySet())) {
            Cancellation cancellation = pending.get(id);
            JobStatus end = finalStates.of(id);
            if (end != null) {
                JobLookupResult result = JobLookupResult.ofFinalState(end);
                pending.remove(id).calls().forEach(userRequest -> responses.respondToCancellation(userRequest, result));
            } else if (clusterState.job(id) == null && clusterState.watchedRevision() >= cancellation.readAt()) {
                // It has ended since. A job that was read is only still to come: it was once read again and again until
                // then, with what is meant for submissions (incident went-back-384079).
                pending.remove(id).calls().forEach(userRequest -> cancel(id, userRequest));
            } else if (!holdsValidLease || cancellation.came().plus(PATIENCE).isBefore(now)) {
                pending.remove(id)
                        .calls()
                        .forEach(userRequest -> UserResponses.rejectTemporarily(userRequest.exchange()));
            }
        }
    }
}
