package org.gullway.api;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Queries that wait for the next version check: those of repeated submissions first, each kind in order of arrival. */
final class StatusQueryQueue {
    private final Deque<StatusQuery> repeatedSubmissions = new ArrayDeque<>();
    private final Deque<StatusQuery> statusRequests = new ArrayDeque<>();
    /** Queries that have never been in a check, so that a further request for the job may join them. */
    private final Map<String, StatusQuery> joinableByJob = new HashMap<>();

    private int keyCount;

    boolean isEmpty() {
        return repeatedSubmissions.isEmpty() && statusRequests.isEmpty();
    }

    int repeatedSubmissionCount() {
        return repeatedSubmissions.size();
    }

    /** How many key versions the queries in the queue need checked. */
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

    /** Takes the next query, which no further request may join. */
    Optional<StatusQuery> poll() {
        StatusQuery query = repeatedSubmissions.isEmpty() ? statusRequests.poll() : repeatedSubmissions.poll();
        if (query == null) {
            return Optional.empty();
        }
        keyCount -= query.keyCount();
        disallowJoining(query);
        return Optional.of(query);
    }

    /** The query that a further request for the job may join. */
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
