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
 * Answers queued status queries by linearizable reads: one request to the state store confirms that the key versions in
 * the cluster state are the newest for many jobs at once. A job for which they are not is checked or looked up again.
 */
final class StatusVerifier {
    /** A job that is not in the cluster state must have neither a live record nor a final state. */
    private static final int KEYS_OF_UNKNOWN_JOB = 2;

    private static final int MAX_CHECKS_IN_FLIGHT = 4;
    private static final Duration BUSY_RETRY_DELAY = Duration.ofMillis(200);
    /** The watch usually delivers the newest version before the next check; after this many, the job is looked up. */
    private static final int MAX_STALE_CHECKS = 2;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final FinalStateCache finalStates;
    private final JobLookup jobLookup;
    private final StatusQueryQueue queue;
    private final int maxKeysPerCheck;
    /** When each check without an outcome was sent, the oldest first. */
    private final Deque<Instant> checksInFlight = new ArrayDeque<>();

    private Instant storeBusyUntil = Instant.MIN;
    private boolean checkScheduled;

    /** A query with what the cluster state contains of its job. */
    private record Candidate(StatusQuery query, Optional<JobStatus> status) {
        JobLookupResult confirmed(ReadFreshness freshness) {
            return status.isPresent() ? new Found(status.get(), freshness) : new NotFound(query.id(), freshness);
        }
    }

    /** The queries of one check, and the keys whose versions it compares. */
    private record Batch(List<Candidate> candidates, Set<String> keys) {}

    /** @param conditionsPerTransaction how many key versions one request to the state store may compare */
    StatusVerifier(RequestContext context, JobLookup jobLookup, StatusQueryQueue queue, int conditionsPerTransaction) {
        this.loop = context.loop();
        this.clusterState = context.clusterState();
        this.replicatedState = context.replicatedState();
        this.finalStates = context.finalStates();
        this.jobLookup = jobLookup;
        this.queue = queue;
        this.maxKeysPerCheck = Math.max(KEYS_OF_UNKNOWN_JOB, conditionsPerTransaction);
    }

    /** How many key versions have to be compared for a query for this job. */
    int keyCount(String id) {
        return clusterState.job(id) == null ? KEYS_OF_UNKNOWN_JOB : 1;
    }

    /** Whether one more query would not be answered within this time. */
    boolean isOverloaded(Duration timeout) {
        if (checksInFlight.size() >= MAX_CHECKS_IN_FLIGHT
                && checksInFlight.peekFirst().plus(timeout).isBefore(loop.now())) {
            return true;
        }
        int checks = 1 + queue.keyCount() / maxKeysPerCheck;
        return replicatedState.timeUntilVersionChecks(checks).compareTo(timeout) >= 0;
    }

    /** Checks the queued queries soon; a short delay gathers those that arrive together. */
    void scheduleCheck() {
        if (checkScheduled || checksInFlight.size() >= MAX_CHECKS_IN_FLIGHT || queue.isEmpty()) {
            return;
        }
        checkScheduled = true;
        Duration batchingDelay = replicatedState.versionCheckDelay();
        Duration busyDelay =
                storeBusyUntil.isAfter(loop.now()) ? Duration.between(loop.now(), storeBusyUntil) : Duration.ZERO;
        loop.after(batchingDelay.compareTo(busyDelay) > 0 ? batchingDelay : busyDelay, () -> {
            checkScheduled = false;
            check();
            scheduleCheck();
        });
    }

    private void check() {
        Batch batch = nextBatch();
        if (batch.keys().isEmpty()) {
            return;
        }
        Instant sentAt = loop.now();
        checksInFlight.add(sentAt);
        replicatedState.checkVersions(batch.keys(), read -> {
            checksInFlight.remove(sentAt);
            switch (read.kind()) {
                case COMPARED -> complete(batch, read, sentAt);
                case BUSY -> retryLater(batch);
                case FAILED -> batch.candidates()
                        .forEach(candidate -> candidate.query().reject());
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
        batch.candidates().add(new Candidate(query, status));
        batch.keys().add(StoreKeys.job(id));
        if (status.isEmpty()) {
            batch.keys().add(StoreKeys.finalState(id));
        }
    }

    private void complete(Batch batch, VersionCheckResult read, Instant sentAt) {
        ReadFreshness freshness = new ReadFreshness(ReadFreshness.Source.VERSION_CHECK, read.revision(), sentAt);
        for (Candidate candidate : batch.candidates()) {
            complete(candidate, freshness, read.staleKeys());
        }
    }

    private void complete(Candidate candidate, ReadFreshness freshness, Set<String> staleKeys) {
        StatusQuery query = candidate.query();
        String id = query.id();
        boolean ended = staleKeys.contains(StoreKeys.finalState(id));
        if (!ended && !staleKeys.contains(StoreKeys.job(id))) {
            query.answer(candidate.confirmed(freshness));
        } else if (ended) {
            jobLookup.lookUpEnded(id, query::answer, query::reject);
        } else if (query.countStaleCheck() >= MAX_STALE_CHECKS) {
            jobLookup.lookUp(id, query::answer, query::reject);
        } else {
            queue.addLast(query);
        }
    }

    /** The state store was busy: checks the batch again, before all others, while its users still wait. */
    private void retryLater(Batch batch) {
        storeBusyUntil = loop.now().plus(BUSY_RETRY_DELAY);
        List<Candidate> candidates = batch.candidates();
        for (int i = candidates.size() - 1; i >= 0; i--) {
            queue.addFirst(candidates.get(i).query());
        }
    }
}
