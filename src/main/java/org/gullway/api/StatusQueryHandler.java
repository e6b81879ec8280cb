package org.gullway.api;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.LinearizableRead;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/**
 * Users' questions about their jobs. Final states are told from memory; any other state, and that there is no such job,
 * only after the store has confirmed that it is still the newest. All questions about one job share an answer and one
 * request serves many jobs, so the number of questions does not matter to the store. A question that cannot be answered
 * in time is refused as soon as that is clear.
 */
final class StatusQueryHandler {
    /** A user waits 2 s for an answer. */
    private static final Duration PATIENCE = Duration.ofMillis(1200);

    private static final Duration BUSY_PAUSE = Duration.ofMillis(200);
    private static final int MOST_IN_FLIGHT = 4;
    private static final int MOST_SUBMITTERS = 500;
    /** A job that is not in the view must be neither live nor ended. */
    private static final int KEYS_OF_UNKNOWN_JOB = 2;
    /** The watch brings what was stale once; a view that is wrong more often than that is not waited for. */
    private static final int MOST_STALE = 2;

    private final EventLoop loop;
    private final ClusterState clusterState;
    private final ReplicatedState replicatedState;
    private final FinalStateCache finalStates;
    private final JobLookup jobLookup;
    private final LinearizableResponses responses;
    private final RequestMetrics metrics;
    private final int keysPerRequest;
    /** Users who repeat a submission come before those who only ask. */
    private final Deque<StatusQuery> submitters = new ArrayDeque<>();

    private final Deque<StatusQuery> waiting = new ArrayDeque<>();
    /** The queries in {@link #waiting} that further calls may join. */
    private final Map<String, StatusQuery> open = new HashMap<>();
    /** Keys that the queries in both queues will compare. */
    private int queuedKeys;

    /** When each verification that has no answer yet was sent, the oldest first. */
    private final Deque<Instant> inFlight = new ArrayDeque<>();

    private Instant notBefore = Instant.MIN;
    private boolean scheduled;

    /** Jobs whose states are verified together, with what is known of each; null where the view knows no such job. */
    private record Batch(Map<StatusQuery, JobStatus> known, Set<String> keys) {}

    StatusQueryHandler(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            FinalStateCache finalStates,
            JobLookup jobLookup,
            LinearizableResponses responses,
            RequestMetrics metrics,
            int guardsPerCommit) {
        this.loop = loop;
        this.clusterState = clusterState;
        this.replicatedState = replicatedState;
        this.finalStates = finalStates;
        this.jobLookup = jobLookup;
        this.responses = responses;
        this.metrics = metrics;
        this.keysPerRequest = Math.max(KEYS_OF_UNKNOWN_JOB, guardsPerCommit);
    }

    /** Answers a user's question. */
    void query(String id, UserRequest userRequest) {
        if (!JobRequest.isValidId(id)) {
            UserResponses.rejectInvalidId(userRequest.exchange());
            return;
        }
        JobStatus end = finalStates.of(id);
        if (end != null) {
            metrics.statusQueries(true, 1);
            responses.respondToQueries(List.of(userRequest), JobLookupResult.ofFinalState(end));
        } else if (!replicatedState.isFresh() || !open.containsKey(id) && overloaded()) {
            metrics.statusQueries(false, 1);
            UserResponses.rejectTemporarily(userRequest.exchange());
        } else {
            open.computeIfAbsent(id, i -> begin(i, false)).add(userRequest);
            verifySoon();
        }
    }

    /** Tells a user who submits a job again what became of it; this never waits behind questions. */
    void respondToRepeatedSubmission(String id, UserRequest userRequest) {
        JobStatus end = finalStates.of(id);
        if (end != null) {
            responses.respondToQueries(List.of(userRequest), JobLookupResult.ofFinalState(end));
        } else if (!replicatedState.isFresh() || submitters.size() >= MOST_SUBMITTERS) {
            UserResponses.rejectTemporarily(userRequest.exchange());
        } else {
            begin(id, true).add(userRequest);
            verifySoon();
        }
    }

    private StatusQuery begin(String id, boolean ofSubmitter) {
        int keys = clusterState.job(id) == null ? KEYS_OF_UNKNOWN_JOB : 1;
        StatusQuery query = new StatusQuery(id, ofSubmitter, keys, responses, metrics);
        queueOf(query).addLast(query);
        queuedKeys += keys;
        query.onEnd(loop.after(PATIENCE, () -> {
            open.remove(id, query);
            query.refuse();
        }));
        return query;
    }

    private Deque<StatusQuery> queueOf(StatusQuery query) {
        return query.isOfSubmitter() ? submitters : waiting;
    }

    private StatusQuery next() {
        StatusQuery query = submitters.isEmpty() ? waiting.poll() : submitters.poll();
        if (query != null) {
            queuedKeys -= query.keys();
            open.remove(query.id(), query);
        }
        return query;
    }

    /** Whether a further question would not be verified in time. */
    private boolean overloaded() {
        if (inFlight.size() >= MOST_IN_FLIGHT
                && inFlight.peekFirst().plus(PATIENCE).isBefore(loop.now())) {
            return true;
        }
        int requests = 1 + queuedKeys / keysPerRequest;
        return replicatedState.timeUntilConfirmation(requests).compareTo(PATIENCE) >= 0;
    }

    private void verifySoon() {
        if (scheduled || inFlight.size() >= MOST_IN_FLIGHT || submitters.isEmpty() && waiting.isEmpty()) {
            return;
        }
        scheduled = true;
        Duration pause = replicatedState.confirmationDelay();
        Duration busy = notBefore.isAfter(loop.now()) ? Duration.between(loop.now(), notBefore) : Duration.ZERO;
        loop.after(pause.compareTo(busy) > 0 ? pause : busy, () -> {
            scheduled = false;
            verify();
            verifySoon();
        });
    }

    /** Asks the store with one request whether what is known here of the jobs that come next is still the newest. */
    private void verify() {
        Batch batch = nextBatch();
        if (batch.keys().isEmpty()) {
            return;
        }
        Instant sent = loop.now();
        inFlight.add(sent);
        replicatedState.confirmVersions(batch.keys(), verification -> {
            inFlight.remove(sent);
            switch (verification.kind()) {
                case COMPARED -> settle(batch, verification, sent);
                case BUSY -> askAgain(batch);
                case FAILED -> batch.known().keySet().forEach(StatusQuery::refuse);
            }
            verifySoon();
        });
    }

    private Batch nextBatch() {
        Batch batch = new Batch(new LinkedHashMap<>(), new HashSet<>());
        while (batch.keys().size() + KEYS_OF_UNKNOWN_JOB <= keysPerRequest) {
            StatusQuery query = next();
            if (query == null) {
                break;
            }
            if (!query.isOver()) {
                addTo(batch, query);
            }
        }
        return batch;
    }

    private void addTo(Batch batch, StatusQuery query) {
        String id = query.id();
        JobStatus end = finalStates.of(id);
        if (end != null) {
            query.answer(JobLookupResult.ofFinalState(end));
            return;
        }
        JobRecord job = clusterState.job(id);
        batch.known().put(query, job == null ? null : job.status());
        batch.keys().add(StoreKeys.job(id));
        if (job == null) {
            batch.keys().add(StoreKeys.finalState(id));
        }
    }

    private void settle(Batch batch, LinearizableRead verification, Instant sent) {
        ReadFreshness freshness = new ReadFreshness(ReadFreshness.Source.VERIFICATION, verification.revision(), sent);
        batch.known()
                .forEach((query, status) ->
                        settle(query, new JobLookupResult(query.id(), status, freshness), verification.staleKeys()));
    }

    private void settle(StatusQuery query, JobLookupResult known, Set<String> stale) {
        String id = query.id();
        boolean ended = stale.contains(StoreKeys.finalState(id));
        if (!ended && !stale.contains(StoreKeys.job(id))) {
            query.answer(known);
        } else if (ended) {
            jobLookup.lookUpFinished(id, query::answer, query::refuse);
        } else if (query.stale() >= MOST_STALE) {
            jobLookup.lookUp(id, query::answer, query::refuse);
        } else {
            queueOf(query).addLast(query);
            queuedKeys += query.keys();
        }
    }

    /** The store had too many requests: asks again while the users still wait. */
    private void askAgain(Batch batch) {
        notBefore = loop.now().plus(BUSY_PAUSE);
        List<StatusQuery> again = new ArrayList<>(batch.known().keySet());
        Collections.reverse(again);
        for (StatusQuery query : again) {
            queueOf(query).addFirst(query);
            queuedKeys += query.keys();
        }
    }
}
