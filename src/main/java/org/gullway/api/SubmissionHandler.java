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

/** Submissions by users, from their arrival until the job is on record and they have been answered. */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);
    private static final Duration OVERLOADED_RETRY_AFTER = UserResponses.RETRY_AFTER.multipliedBy(2);
    /** As for every first change of a job in a transaction, see {@link Transaction#canPutJob}. */
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

    /** Parses a submission and responds to it, at once or when the job is on record. */
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
            context.triggerSchedulingCycle().run();
        }
    }

    private static JobRequest parse(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        return JobRequest.parse(Cbor.decode(exchange.body()));
    }

    /** A job that was accepted earlier is never rejected; only the state store can confirm that it was not. */
    private void rejectUnlessAcceptedEarlier(String id, UserRequest request) {
        jobLookup.lookUp(
                id,
                result -> context.responses().respondInfeasible(request, result, INFEASIBLE),
                () -> UserResponses.rejectTemporarily(request));
    }

    /** Adds the records of pending jobs to the transaction, as far as it has capacity. */
    void plan(Transaction transaction) {
        List<String> members = new ArrayList<>(clusterState.members().keySet());
        for (JobRequest job : pending.changes()) {
            if (transaction.job(job.id()) == null && transaction.hasCapacityFor(CAPACITY_PER_JOB)) {
                transaction.requireUnchanged(StoreKeys.finalState(job.id()));
                transaction.put(StoreKeys.job(job.id()), admission.newRecord(job, members, transaction.timeOfDay()));
            }
        }
    }

    /**
     * Responds after this job's record has been committed. The commit answers only requests that arrived before it was
     * sent, and only while its version is the newest: its response can arrive late, after the job was cancelled and
     * submitted again. All other requests get the job's present state.
     */
    void onCommitted(JobRecord job, ReadFreshness freshness) {
        String id = job.request().id();
        List<UserRequest> requests = pending.remove(id);
        if (requests.isEmpty()) {
            return;
        }
        boolean isLatestVersion = clusterState.version(StoreKeys.job(id)) == freshness.revision();
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

    /** Responds to submissions of jobs that, as a conflict shows, have already ended. */
    void onConflict(Set<String> failedConditions) {
        for (String id : pending.jobs()) {
            if (failedConditions.contains(StoreKeys.finalState(id))) {
                pending.remove(id).forEach(request -> statusQueries.respondToRepeatedSubmission(id, request));
            }
        }
    }

    /** Responds to all pending requests that the cluster state answers by now, and rejects those that timed out. */
    void completePending() {
        pending.complete(replicatedState.holdsValidLease(), this::completion);
    }

    private Optional<Consumer<UserRequest>> completion(JobRequest job) {
        return clusterState.job(job.id()) == null
                ? Optional.empty()
                : Optional.of(request -> statusQueries.respondToRepeatedSubmission(job.id(), request));
    }
}
