package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Submissions from their arrival until the job is on record and its user has been told so. */
final class SubmissionHandler {
    private static final Logger LOG = LoggerFactory.getLogger(SubmissionHandler.class);
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int MOST_PENDING = 500;
    private static final String IMPOSSIBLE = "no machine type, zone or team limit allows this job";

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final MachineTypeCatalog machineTypes;
    private final JobFeasibility feasibility;
    private final RandomGenerator random;
    private final RequestMetrics metrics;
    private final FinalStateCache finalStates;
    private final JobLookup jobLookup;
    private final StatusQueryHandler statusQueries;
    private final LinearizableResponses responses;
    private final Runnable changed;
    private final Map<String, Submission> pending = new LinkedHashMap<>();

    private record Submission(JobRequest request, Instant came, List<UserRequest> calls) {}

    /** @param changed asks for a round of decisions */
    SubmissionHandler(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            MachineTypeCatalog machineTypes,
            JobFeasibility feasibility,
            RandomGenerator random,
            RequestMetrics metrics,
            FinalStateCache finalStates,
            JobLookup jobLookup,
            StatusQueryHandler statusQueries,
            LinearizableResponses responses,
            Runnable changed) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.replicatedState = replicatedState;
        this.machineTypes = machineTypes;
        this.feasibility = feasibility;
        this.random = random;
        this.metrics = metrics;
        this.finalStates = finalStates;
        this.jobLookup = jobLookup;
        this.statusQueries = statusQueries;
        this.responses = responses;
        this.changed = changed;
    }

    /** Reads a submission and answers it, at once or when the job is on record. */
    void submit(UserRequest userRequest) {
        JobRequest request;
        try {
            request = read(userRequest.exchange());
        } catch (MalformedMessageException e) {
            UserResponses.rejectInvalid(userRequest.exchange(), 400, e.getMessage());
            return;
        }
        String id = request.id();
        if (!replicatedState.holdsValidLease() || machineTypes.isEmpty()) {
            UserResponses.rejectTemporarily(userRequest.exchange());
        } else if (clusterState.job(id) != null || finalStates.contains(id)) {
            statusQueries.respondToRepeatedSubmission(id, userRequest);
        } else if (!feasibility.isFeasible(request)) {
            refuseUnlessAccepted(id, userRequest);
        } else if (pending.size() >= MOST_PENDING) {
            userRequest.exchange().reject(429, UserResponses.RETRY_AFTER.multipliedBy(2));
        } else {
            enqueue(request, userRequest);
        }
    }

    private static JobRequest read(HttpExchange exchange) throws MalformedMessageException {
        if (exchange.body() == null) {
            throw new MalformedMessageException("the body is larger than allowed");
        }
        return JobRequest.parse(Cbor.decode(exchange.body()));
    }

    /** A job accepted earlier is never refused; only the store can say that it was not. */
    private void refuseUnlessAccepted(String id, UserRequest userRequest) {
        jobLookup.lookUp(
                id,
                result -> responses.respondInfeasible(userRequest, result, IMPOSSIBLE),
                () -> UserResponses.rejectTemporarily(userRequest.exchange()));
    }

    private void enqueue(JobRequest request, UserRequest userRequest) {
        pending.computeIfAbsent(
                        request.id(), i -> new Submission(withKnownTypes(request), loop.now(), new ArrayList<>()))
                .calls()
                .add(userRequest);
        changed.run();
    }

    /** The request with only those allowed types that exist, so that its record stays small. */
    private JobRequest withKnownTypes(JobRequest r) {
        if (r.machineTypes() == null) {
            return r;
        }
        List<String> types = machineTypes.byName().values().stream()
                .map(MachineType::name)
                .filter(r.machineTypes()::contains)
                .toList();
        return new JobRequest(
                r.id(),
                r.jobClass(),
                r.team(),
                r.shape(),
                r.priority(),
                r.tasks(),
                r.cpus(),
                r.gpus(),
                r.memoryGb(),
                r.image(),
                r.imageGb(),
                types,
                r.zone(),
                r.singleZone(),
                r.spreadAcrossZones(),
                r.spotAllowed(),
                r.estimatedRunTime(),
                r.checkpointInterval(),
                r.checkpointTime(),
                r.deadline());
    }

    /** Adds the records of jobs that wait for acceptance to the draft, as far as it has room. */
    void plan(Transaction transaction) {
        List<String> members = new ArrayList<>(clusterState.members().keySet());
        for (Submission submission : pending.values()) {
            JobRequest request = submission.request();
            if (transaction.job(request.id()) == null && transaction.hasCapacityFor(2)) {
                String owner = JobRecord.isReserved(request) ? null : members.get(random.nextInt(members.size()));
                transaction.requireUnchanged(StoreKeys.finalState(request.id()));
                transaction.put(
                        StoreKeys.job(request.id()), JobRecord.accepted(request, owner, transaction.timeOfDay()));
            }
        }
    }

    /**
     * The record of this job has been committed. That answers the submissions that came before the commit was sent; the
     * answer to a commit can come late, after the job was cancelled and submitted again (incident went-back-384079), so
     * all others are told what the job's state is by now.
     */
    void onCommitted(JobRecord job, ReadFreshness freshness) {
        String id = job.request().id();
        Submission submission = pending.remove(id);
        if (submission == null) {
            return;
        }
        boolean newest = clusterState.version(StoreKeys.job(id)) == freshness.revision();
        JobLookupResult result = new JobLookupResult(id, job.status(), freshness);
        for (UserRequest userRequest : submission.calls()) {
            if (newest && freshness.covers(userRequest.arrivedAt())) {
                accepted(job, userRequest, result);
            } else {
                statusQueries.respondToRepeatedSubmission(id, userRequest);
            }
        }
    }

    private void accepted(JobRecord job, UserRequest userRequest, JobLookupResult result) {
        Duration took = Duration.between(userRequest.arrivedAt(), loop.now());
        LOG.debug("{} of {} accepted after {}", result.id(), job.request().jobClass(), took);
        metrics.submissionAccepted(took);
        responses.respondAccepted(userRequest, result);
    }

    /** Answers submissions of jobs that turned out to have ended before. */
    void onConflict(Set<String> failedGuards) {
        for (String id : List.copyOf(pending.keySet())) {
            if (failedGuards.contains(StoreKeys.finalState(id))) {
                pending.remove(id)
                        .calls()
                        .forEach(userRequest -> statusQueries.respondToRepeatedSubmission(id, userRequest));
            }
        }
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    void completePending() {
        Instant now = loop.now();
        boolean holdsValidLease = replicatedState.holdsValidLease();
        for (String id : List.copyOf(pending.keySet())) {
            Submission submission = pending.get(id);
            if (clusterState.job(id) != null) {
                pending.remove(id)
                        .calls()
                        .forEach(userRequest -> statusQueries.respondToRepeatedSubmission(id, userRequest));
            } else if (!holdsValidLease || submission.came().plus(PATIENCE).isBefore(now)) {
                pending.remove(id)
                        .calls()
                        .forEach(userRequest -> UserResponses.rejectTemporarily(userRequest.exchange()));
            }
        }
    }
}
