package org.gullway.api;

import java.util.ArrayList;
import java.util.List;

/** A query for the status of one job, with all requests that wait for the same response. */
final class StatusQuery {
    /** Why users ask, which determines the priority. */
    enum Origin {
        STATUS_REQUEST,
        /** The job is submitted once more; its user may not know yet that it was accepted. */
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

    /** @param keyCount how many key versions have to be checked for this query */
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

    /** Whether all requests have been answered or rejected. */
    boolean isCompleted() {
        return completed;
    }

    void add(UserRequest request) {
        requests.add(request);
    }

    /** Sets how the timeout of this query is cancelled once it is completed. */
    void cancelOnCompletion(Runnable timeoutHandle) {
        cancelTimeout = timeoutHandle;
    }

    /** Counts a check that found the cluster state stale; returns how many have. */
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

    /** Whether this call completes the query, which happens once. */
    private boolean tryComplete() {
        if (completed) {
            return false;
        }
        completed = true;
        cancelTimeout.run();
        return true;
    }
}
