package org.gullway.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;

/** Cancellations by users, from their arrival until they are on record and have been answered. */
final class CancellationHandler {
    /** A cancelled job without live attempts ends at once, which changes two keys. */
    private static final int MAX_CHANGES_PER_JOB = 2;

    private final RequestContext context;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final JobLookup jobLookup;
    private final PendingRequests<Cancellation> pending;

    /**
     * A cancellation that is to be recorded.
     *
     * @param readRevision revision at which the job was read by key; 0 if it was in the cluster state
     */
    private record Cancellation(String job, long readRevision) {}

    CancellationHandler(RequestContext context, JobLookup jobLookup) {
        this.context = context;
        this.clusterState = context.clusterState();
        this.replicatedState = context.replicatedState();
        this.jobLookup = jobLookup;
        this.pending = new PendingRequests<>(context.loop());
    }

    /** Cancels the job and responds when that is on record, or at once if it has ended or does not exist. */
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
            enqueue(id, request, 0);
        }
    }

    private void cancelIfLive(JobLookupResult result, UserRequest request) {
        if (result instanceof Found && !result.isFinal()) {
            enqueue(result.id(), request, result.freshness().revision());
        } else {
            context.responses().respondToCancellation(request, result);
        }
    }

    private void enqueue(String id, UserRequest request, long readRevision) {
        pending.add(id, request, () -> new Cancellation(id, readRevision));
        context.triggerSchedulingCycle().run();
    }

    /** Adds the pending cancellations to the transaction, as far as it has capacity. */
    void plan(Transaction transaction) {
        for (Cancellation cancellation : pending.changes()) {
            JobRecord job = transaction.job(cancellation.job());
            if (job != null && !job.isCancelled() && transaction.hasCapacityFor(MAX_CHANGES_PER_JOB)) {
                transaction.putJob(job.withCancellation(transaction.timeOfDay()));
            }
        }
    }

    /** Responds to all pending requests that the cluster state answers by now, and rejects those that timed out. */
    void completePending() {
        pending.complete(replicatedState.holdsValidLease(), this::completion);
    }

    private Optional<Consumer<UserRequest>> completion(Cancellation cancellation) {
        String id = cancellation.job();
        Optional<JobStatus> finalState = context.finalStates().find(id);
        if (finalState.isPresent()) {
            JobLookupResult result = Found.ofFinalState(finalState.get());
            return Optional.of(request -> context.responses().respondToCancellation(request, result));
        }
        // A job that was read by key may not have reached the cluster state yet: absence counts only from that revision
        // on, or each cycle would read it again at the expense of submissions.
        if (clusterState.job(id) == null && clusterState.watchedRevision() >= cancellation.readRevision()) {
            return Optional.of(request -> cancel(id, request));
        }
        return Optional.empty();
    }
}
