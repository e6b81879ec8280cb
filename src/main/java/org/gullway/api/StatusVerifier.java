package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gullway.api.JobLookupResult.Found;
import org.gullway.api.JobLookupResult.NotFound;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;
import org.gullway.storage.VersionCheckResult;
import org.gullway.transport.EventLoop;

/**
 * Answers queued status queries with linearizable reads. A version check is one request to the state store that
 * confirms, for many jobs, that the cluster state has the newest versions of their keys. A job that is stale in the
 * cluster state is checked again or looked up in the state store.
 */
final class StatusVerifier {
    /**
     * Keys to compare for a job that is not in the cluster state: a check confirms that neither its live record nor its
     * final state exists.
     */
    private static final int KEYS_OF_UNKNOWN_JOB = 2;

    private static final int MAX_CHECKS_IN_FLIGHT = 4;
    private static final Duration RATE_LIMIT_RETRY_DELAY = Duration.ofMillis(200);
    /**
     * Number of version checks that find a job stale in the cluster state before it is looked up in the state store.
     * Usually the watch delivers the newest version of the job before its second check.
     */
    private static final int MAX_STALE_CHECKS = 2;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final FinalStateCache finalStates;
    private final JobLookup jobLookup;
    private final StatusQueryQueue queue;
    private final int maxKeysPerCheck;
    /** Send times of the version checks that have no outcome yet, the oldest first. */
    private final Deque<Instant> checkSendTimes = new ArrayDeque<>();

    private Instant rateLimitedUntil = Instant.MIN;
    private boolean checkScheduled;

    /**
     * A query that is part of a version check.
     *
     * @param status the job's status in the cluster state when the check was sent; empty if the job was not there
     */
    private record BatchedQuery(StatusQuery query, Optional<JobStatus> status) {
        JobLookupResult toResult(StateFreshness freshness) {
            return status.isPresent() ? new Found(status.get(), freshness) : new NotFound(query.id(), freshness);
        }
    }

    /** The queries of one version check, and the keys whose versions it compares. */
    private record Batch(List<BatchedQuery> queries, Set<String> keys) {}

    /**
     * @param conditionsPerTransaction maximum number of key versions that one request to the state store can compare
     */
    StatusVerifier(RequestContext context, JobLookup jobLookup, StatusQueryQueue queue, int conditionsPerTransaction) {
        this.loop = context.loop();
        this.clusterState = context.clusterState();
        this.replicatedState = context.replicatedState();
        this.finalStates = context.finalStates();
        this.jobLookup = jobLookup;
        this.queue = queue;
        this.maxKeysPerCheck = Math.max(KEYS_OF_UNKNOWN_JOB, conditionsPerTransaction);
    }

    /** Returns the number of key versions that have to be compared for a query for this job. */
    int keyCount(String id) {
        return clusterState.job(id) == null ? KEYS_OF_UNKNOWN_JOB : 1;
    }

    /** Returns whether an additional query would probably not be answered within the timeout. */
    boolean isOverloaded(Duration timeout) {
        if (checkSendTimes.size() >= MAX_CHECKS_IN_FLIGHT
                && checkSendTimes.peekFirst().plus(timeout).isBefore(loop.now())) {
            return true;
        }
        int checks = 1 + queue.keyCount() / maxKeysPerCheck;
        return replicatedState.timeUntilVersionChecks(checks).compareTo(timeout) >= 0;
    }

    /**
     * Schedules a version check of the queued queries. The delay batches queries that arrive together, and is longer
     * after the state store has rejected a check because of its rate limit.
     */
    void scheduleCheck() {
        if (checkScheduled || checkSendTimes.size() >= MAX_CHECKS_IN_FLIGHT || queue.isEmpty()) {
            return;
        }
        checkScheduled = true;
        Duration batchingDelay = replicatedState.versionCheckDelay();
        Duration retryDelay =
                rateLimitedUntil.isAfter(loop.now()) ? Duration.between(loop.now(), rateLimitedUntil) : Duration.ZERO;
        loop.after(batchingDelay.compareTo(retryDelay) > 0 ? batchingDelay : retryDelay, () -> {
            checkScheduled = false;
            sendCheck();
            scheduleCheck();
        });
    }

    private void sendCheck() {
        Batch batch = nextBatch();
        if (batch.keys().isEmpty()) {
            return;
        }
        Instant sentAt = loop.now();
        checkSendTimes.add(sentAt);
        replicatedState.checkVersions(batch.keys(), result -> {
            checkSendTimes.remove(sentAt);
            switch (result.kind()) {
                case COMPARED -> complete(batch, result, sentAt);
                case BUSY -> retryLater(batch);
                case FAILED -> batch.queries()
                        .forEach(batched -> batched.query().reject());
            }
            scheduleCheck();
        });
    }

    private Batch nextBatch() {
        Batch batch = new Batch(new ArrayList<>(), new HashSet<>());
        while (batch.keys().size() + KEYS_OF_UNKNOWN_JOB <= maxKeysPerCheck) {
            Optional<StatusQuery> query = queue.poll();
            if (query.isEmpty()) {
                break;
            }
            if (!query.get().isCompleted()) {
                addTo(batch, query.get());
            }
        }
        return batch;
    }

    private void addTo(Batch batch, StatusQuery query) {
        String id = query.id();
        Optional<JobStatus> finalState = finalStates.find(id);
        if (finalState.isPresent()) {
            query.answer(Found.ofFinalState(finalState.get()));
            return;
        }
        Optional<JobStatus> status = Optional.ofNullable(clusterState.job(id)).map(JobRecord::status);
        batch.queries().add(new BatchedQuery(query, status));
        batch.keys().add(StoreKeys.job(id));
        if (status.isEmpty()) {
            batch.keys().add(StoreKeys.finalState(id));
        }
    }

    private void complete(Batch batch, VersionCheckResult result, Instant sentAt) {
        StateFreshness freshness = new StateFreshness(StateFreshness.Source.VERSION_CHECK, result.revision(), sentAt);
        for (BatchedQuery batched : batch.queries()) {
            complete(batched, freshness, result.staleKeys());
        }
    }

    private void complete(BatchedQuery batched, StateFreshness freshness, Set<String> staleKeys) {
        StatusQuery query = batched.query();
        String id = query.id();
        boolean ended = staleKeys.contains(StoreKeys.finalState(id));
        if (!ended && !staleKeys.contains(StoreKeys.job(id))) {
            query.answer(batched.toResult(freshness));
        } else if (ended) {
            jobLookup.lookUpEnded(id, query::answer, query::reject);
        } else if (query.countStaleCheck() >= MAX_STALE_CHECKS) {
            jobLookup.lookUp(id, query::answer, query::reject);
        } else {
            queue.addLast(query);
        }
    }

    /**
     * Puts the queries of a batch back at the head of the queue after the state store rejected the check because of its
     * rate limit, so that they are checked before queries that arrived later. Queries that time out meanwhile are not
     * checked again.
     */
    private void retryLater(Batch batch) {
        rateLimitedUntil = loop.now().plus(RATE_LIMIT_RETRY_DELAY);
        List<BatchedQuery> queries = batch.queries();
        for (int i = queries.size() - 1; i >= 0; i--) {
            queue.addFirst(queries.get(i).query());
        }
    }
}
