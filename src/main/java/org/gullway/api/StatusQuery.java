package org.gullway.api;

import java.util.ArrayList;
import java.util.List;

/** A query for the status of one job, shared by all requests that get the same response. */
final class StatusQuery {
    /** The kind of request that caused the query. Queries of repeated submissions are checked before all others. */
    enum Origin {
        /** A user asked for the status of the job. */
        STATUS_REQUEST,
        /** A user submitted a job that already has a record or a final state, and may not know that it was accepted. */
        REPEATED_SUBMISSION
    }

    private final String id;
    private final Origin origin;
    private final int keyCount;
    private final LinearizableResponses responses;
    private final RequestMetrics metrics;
    private final List<UserRequest> requests = new ArrayList<>();
    private Runnable cancelTimeout = () -> {};
    private boolean completed;
    private int staleChecks;

    /** @param keyCount the number of key versions that a version check has to compare for this query */
    StatusQuery(String id, Origin origin, int keyCount, LinearizableResponses responses, RequestMetrics metrics) {
        this.id = id;
        this.origin = origin;
        this.keyCount = keyCount;
        this.responses = responses;
        this.metrics = metrics;
    }

    String id() {
        return id;
    }

    Origin origin() {
        return origin;
    }

    int keyCount() {
        return keyCount;
    }

    /** Returns whether all requests have been answered or rejected. */
    boolean isCompleted() {
        return completed;
    }

    void add(UserRequest request) {
        requests.add(request);
    }

    /** Sets the action that cancels the timeout of this query. It runs when the query is completed. */
    void setTimeoutCancellation(Runnable action) {
        cancelTimeout = action;
    }

    /** Counts a version check that found this job stale in the cluster state, and returns the number of such checks. */
    int countStaleCheck() {
        return ++staleChecks;
    }

    /** Answers all requests. */
    void answer(JobLookupResult result) {
        if (tryComplete()) {
            metrics.statusQueriesAnswered(requests.size());
            responses.respondToQueries(requests, result);
        }
    }

    /** Rejects all requests temporarily. */
    void reject() {
        if (tryComplete()) {
            metrics.statusQueriesRejected(requests.size());
            requests.forEach(UserResponses::rejectTemporarily);
        }
    }

    /**
     * Marks the query as completed. Returns false if it was completed before, since requests are answered only once.
     */
    private boolean tryComplete() {
        if (completed) {
            return false;
        }
        completed = true;
        cancelTimeout.run();
        return true;
    }
}
