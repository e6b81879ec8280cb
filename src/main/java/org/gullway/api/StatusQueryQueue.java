package org.gullway.api;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Queries that wait for a version check by the state store. Queries of repeated submissions are polled before all
 * others. New queries are added at the end, as are queries whose check found the job stale; queries whose check was
 * rejected by the rate limit of the state store are put back at the head.
 */
final class StatusQueryQueue {
    private final Deque<StatusQuery> repeatedSubmissions = new ArrayDeque<>();
    private final Deque<StatusQuery> statusRequests = new ArrayDeque<>();
    /**
     * By job: the query that further requests for the job can join. A query cannot be joined once a version check
     * includes it, because that check may have been sent before the request arrived.
     */
    private final Map<String, StatusQuery> joinableByJob = new HashMap<>();

    private int keyCount;

    boolean isEmpty() {
        return repeatedSubmissions.isEmpty() && statusRequests.isEmpty();
    }

    int repeatedSubmissionCount() {
        return repeatedSubmissions.size();
    }

    /** Returns the number of key versions that have to be compared for all queued queries. */
    int keyCount() {
        return keyCount;
    }

    void addFirst(StatusQuery query) {
        queueOf(query).addFirst(query);
        keyCount += query.keyCount();
    }

    void addLast(StatusQuery query) {
        queueOf(query).addLast(query);
        keyCount += query.keyCount();
    }

    /** Removes and returns the next query. From then on no further request can join it. */
    Optional<StatusQuery> poll() {
        StatusQuery query = repeatedSubmissions.isEmpty() ? statusRequests.poll() : repeatedSubmissions.poll();
        if (query == null) {
            return Optional.empty();
        }
        keyCount -= query.keyCount();
        disallowJoining(query);
        return Optional.of(query);
    }

    /** Returns the query that a further request for the job can join, if there is one. */
    Optional<StatusQuery> findJoinable(String id) {
        return Optional.ofNullable(joinableByJob.get(id));
    }

    void allowJoining(StatusQuery query) {
        joinableByJob.put(query.id(), query);
    }

    void disallowJoining(StatusQuery query) {
        joinableByJob.remove(query.id(), query);
    }

    private Deque<StatusQuery> queueOf(StatusQuery query) {
        return switch (query.origin()) {
            case REPEATED_SUBMISSION -> repeatedSubmissions;
            case STATUS_REQUEST -> statusRequests;
        };
    }
}
