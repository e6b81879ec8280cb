package org.gullway.api;

import java.util.ArrayList;
import java.util.List;

/** One job that users ask about, with all calls that wait for the same answer. */
final class StatusQuery {
    private final String id;
    private final boolean ofSubmitter;
    private final int keys;
    private final LinearizableResponses responses;
    private final RequestMetrics metrics;
    private final List<UserRequest> calls = new ArrayList<>();
    private Runnable stopTimer = () -> {};
    private boolean over;
    private int timesStale;

    /**
     * @param ofSubmitter whether it comes from a user who submits the job again
     * @param keys how many keys its verification compares
     */
    StatusQuery(String id, boolean ofSubmitter, int keys, LinearizableResponses responses, RequestMetrics metrics) {
        this.id = id;
        this.ofSubmitter = ofSubmitter;
        this.keys = keys;
        this.responses = responses;
        this.metrics = metrics;
    }

    String id() {
        return id;
    }

    boolean isOfSubmitter() {
        return ofSubmitter;
    }

    int keys() {
        return keys;
    }

    /** Whether all calls have been answered. */
    boolean isOver() {
        return over;
    }

    void add(UserRequest userRequest) {
        calls.add(userRequest);
    }

    /** @param stop ends the timer that would refuse this query */
    void onEnd(Runnable stop) {
        stopTimer = stop;
    }

    /** Counts that what was known here was not the newest; returns how often that was so. */
    int stale() {
        return ++timesStale;
    }

    /** Tells all who wait what was found out. */
    void answer(JobLookupResult result) {
        if (end(true)) {
            responses.respondToQueries(calls, result);
        }
    }

    /** Refuses all who wait for now. */
    void refuse() {
        if (end(false)) {
            calls.forEach(userRequest -> UserResponses.rejectTemporarily(userRequest.exchange()));
        }
    }

    private boolean end(boolean answered) {
        if (over) {
            return false;
        }
        over = true;
        stopTimer.run();
        metrics.statusQueries(answered, calls.size());
        return true;
    }
}
