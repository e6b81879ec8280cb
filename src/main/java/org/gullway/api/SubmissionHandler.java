package org.gullway.api;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.HttpExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles submissions from users. A submission is answered as accepted only after the job's record has been committed
 * to the state store.
 */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);
    private static final Duration OVERLOADED_RETRY_AFTER = UserResponses.RETRY_AFTER.multipliedBy(2);
    /**
     * A new job is added only to a transaction with capacity for this many further changes. The new record is only one
     * change, but the same capacity is required as for the first change of any job, see {@link Transaction#canPutJob}.
     */
    private static final int CAPACITY_PER_JOB = 2;

    private static final String INFEASIBLE = "no machine type, zone or team limit allows this job";

    private final RequestContext context;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final JobAdmission admission;
    private final JobLookup jobLookup;
    private final StatusQueryHandler statusQueries;
    private final PendingRequests<JobRequest> pending;

    SubmissionHandler(
            RequestContext context, JobAdmission admission, JobLookup jobLookup, StatusQueryHandler statusQueries) {
        this.context = context;
        this.clusterState = context.clusterState();
        this.replicatedState = context.replicatedState();
        this.admission = admission;
        this.jobLookup = jobLookup;
        this.statusQueries = statusQueries;
        this.pending = new PendingRequests<>(context.loop());
    }

    /** Parses a submission and responds to it, immediately or after the job has been committed. */
    void submit(UserRequest request) {
        JobRequest job;
        try {
            job = parse(request.exchange());
        } catch (MalformedMessageException e) {
            UserResponses.rejectMalformed(request, e.getMessage());
            return;
        }
        String id = job.id();
        if (!replicatedState.holdsValidLease() || !admission.isReady()) {
            UserResponses.rejectTemporarily(request);
        } else if (clusterState.job(id) != null
                || context.finalStates().find(id).isPresent()) {
            statusQueries.respondToRepeatedSubmission(id, request);
        } else if (!admission.isFeasible(job)) {
            rejectUnlessAcceptedEarlier(id, request);
        } else if (pending.isFull()) {
            UserResponses.rejectOverloaded(request, OVERLOADED_RETRY_AFTER);
        } else {
            pending.add(id, request, () -> admission.withKnownMachineTypes(job));
            context.requestCycle().run();
        }
    }

    private static JobRequest parse(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        return JobRequest.parse(Cbor.decode(exchange.body()));
    }

    /**
     * Rejects an infeasible job, unless it was accepted by an earlier submission: an accepted job is never rejected
     * later. Only the state store can confirm that the job was not accepted.
     */
    private void rejectUnlessAcceptedEarlier(String id, UserRequest request) {
        jobLookup.lookUp(
                id,
                result -> context.responses().respondInfeasible(request, result, INFEASIBLE),
                () -> UserResponses.rejectTemporarily(request));
    }

    /** Adds as many records of pending jobs to the transaction as it has capacity for. */
    void plan(Transaction transaction) {
        List<String> members = new ArrayList<>(clusterState.members().keySet());
        for (JobRequest job : pending.changes()) {
            if (transaction.job(job.id()) == null && transaction.hasCapacityFor(CAPACITY_PER_JOB)) {
                transaction.requireUnchanged(StoreKeys.finalState(job.id()));
                transaction.put(
                        StoreKeys.job(job.id()), admission.newRecord(job, members, transaction.wallClockTime()));
            }
        }
    }

    /**
     * Responds to the pending submissions of a job whose record has been committed. A request gets the committed state
     * if it arrived before the transaction was sent and the cluster state contains exactly the committed version of the
     * record. All other requests get the job's current state: the store's response to the commit can arrive late, and a
     * user who has cancelled the job and repeated the submission meanwhile must not get the outdated committed state.
     */
    void onCommitted(JobRecord job, StateFreshness freshness) {
        String id = job.request().id();
        List<UserRequest> requests = pending.remove(id);
        if (requests.isEmpty()) {
            return;
        }
        boolean isLatestVersion = clusterState.version(StoreKeys.job(id)).equals(freshness.revision());
        Found committed = new Found(job.status(), freshness);
        for (UserRequest request : requests) {
            if (isLatestVersion && freshness.isFreshFor(request.arrivedAt())) {
                respondAccepted(job, request, committed);
            } else {
                statusQueries.respondToRepeatedSubmission(id, request);
            }
        }
    }

    private void respondAccepted(JobRecord job, UserRequest request, Found committed) {
        Duration latency = Duration.between(request.arrivedAt(), context.loop().now());
        LOG.debug(
                "accepted a job job={} class={} elapsed_ms={}",
                committed.id(),
                job.request().jobClass(),
                latency.toMillis());
        context.metrics().submissionAccepted(latency);
        context.responses().respondAccepted(request, committed);
    }

    /**
     * Responds to the pending submissions of jobs that have already ended. A failed condition on the key of a job's
     * final state means that the job has ended.
     *
     * @param failedConditions keys whose conditions failed in a transaction
     */
    void onConflict(Set<String> failedConditions) {
        for (String id : pending.jobIds()) {
            if (failedConditions.contains(StoreKeys.finalState(id))) {
                pending.remove(id).forEach(request -> statusQueries.respondToRepeatedSubmission(id, request));
            }
        }
    }

    /**
     * Responds to the pending submissions whose job is now in the cluster state. Rejects those that have timed out, and
     * all others if this controller no longer holds a valid lease.
     */
    void completePending() {
        pending.complete(replicatedState.holdsValidLease(), this::completion);
    }

    private Optional<Consumer<UserRequest>> completion(JobRequest job) {
        return clusterState.job(job.id()) == null
                ? Optional.empty()
                : Optional.of(request -> statusQueries.respondToRepeatedSubmission(job.id(), request));
    }
}
