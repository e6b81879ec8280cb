package org.gullway.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;

/**
 * Handles cancellation requests from users. A cancellation is confirmed only after it has been committed to the state
 * store.
 */
final class CancellationHandler {
    /**
     * Keys that one cancellation can change. A cancelled job without live attempts ends immediately, which changes two
     * keys: its live record and its final state.
     */
    private static final int MAX_CHANGES_PER_JOB = 2;

    private final RequestContext context;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final JobLookup jobLookup;
    private final PendingRequests<Cancellation> pending;

    /**
     * A cancellation that the next transaction has to commit.
     *
     * @param readRevision revision at which the job was read from the state store by key; 0 if the job was found in the
     *     cluster state instead
     */
    private record Cancellation(String jobId, Count readRevision) {}

    CancellationHandler(RequestContext context, JobLookup jobLookup) {
        this.context = context;
        this.clusterState = context.clusterState();
        this.replicatedState = context.replicatedState();
        this.jobLookup = jobLookup;
        this.pending = new PendingRequests<>(context.loop());
    }

    /**
     * Cancels the job. Responds after the cancellation has been committed, or without a commit if the job has ended or
     * does not exist, or if the request is rejected.
     */
    void cancel(String id, UserRequest request) {
        if (!JobRequest.isValidId(id)) {
            UserResponses.rejectInvalidId(request);
        } else if (!replicatedState.holdsValidLease()) {
            UserResponses.rejectTemporarily(request);
        } else if (pending.isFull()) {
            UserResponses.rejectOverloaded(request, UserResponses.RETRY_AFTER);
        } else if (clusterState.job(id) == null) {
            jobLookup.lookUp(
                    id, result -> cancelIfLive(result, request), () -> UserResponses.rejectTemporarily(request));
        } else {
            enqueue(id, request, Count.ZERO);
        }
    }

    private void cancelIfLive(JobLookupResult result, UserRequest request) {
        if (result instanceof Found && !result.isFinal()) {
            enqueue(result.id(), request, result.freshness().revision());
        } else {
            context.responses().respondToCancellation(request, result);
        }
    }

    private void enqueue(String id, UserRequest request, Count readRevision) {
        pending.add(id, request, () -> new Cancellation(id, readRevision));
        context.requestCycle().run();
    }

    /** Adds as many pending cancellations to the transaction as it has capacity for. */
    void plan(Transaction transaction) {
        for (Cancellation cancellation : pending.changes()) {
            JobRecord job = transaction.job(cancellation.jobId());
            if (job != null && !job.isCancelled() && transaction.hasCapacityFor(MAX_CHANGES_PER_JOB)) {
                transaction.putJob(job.withCancellation(transaction.wallClockTime()));
            }
        }
    }

    /**
     * Responds to the pending cancellations whose outcome the cluster state now shows. Rejects those that have timed
     * out, and all others if this controller no longer holds a valid lease.
     */
    void completePending() {
        pending.complete(replicatedState.holdsValidLease(), this::completion);
    }

    private Optional<Consumer<UserRequest>> completion(Cancellation cancellation) {
        String id = cancellation.jobId();
        Optional<JobStatus> finalState = context.finalStates().find(id);
        if (finalState.isPresent()) {
            JobLookupResult result = Found.ofFinalState(finalState.get());
            return Optional.of(request -> context.responses().respondToCancellation(request, result));
        }
        // A job that is absent from the cluster state has ended, and a new lookup finds its final state. If the job
        // was read by key, however, the watch may not have delivered it to the cluster state yet. The lookup waits
        // until the cluster state has reached the revision of that read; otherwise each scheduling cycle would read
        // the job again and use up the read rate limit that cancellations share with submissions.
        if (clusterState.job(id) == null && clusterState.watchedRevision().isAtLeast(cancellation.readRevision())) {
            return Optional.of(request -> cancel(id, request));
        }
        return Optional.empty();
    }
}
