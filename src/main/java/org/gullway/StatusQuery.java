package org.gullway;

import java.util.ArrayList;
import java.util.List;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.Call;

/** One job that users ask about, with all calls that wait for the same answer. */
final class StatusQuery {
    private final String id;
    private final boolean ofSubmitter;
    private final int keys;
    private final Metrics metrics;
    private final List<Call> calls = new ArrayList<>();
    private Runnable stopTimer = () -> {};
    private boolean over;
    private int timesStale;

    /**
     * @param ofSubmitter whether it comes from a user who submits the job again
     * @param keys how many keys its verification compares
     */
    StatusQuery(String id, boolean ofSubmitter, int keys, Metrics metrics) {
        this.id = id;
        this.ofSubmitter = ofSubmitter;
        this.keys = keys;
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

    void add(Call call) {
        calls.add(call);
    }

    /** @param stop ends the timer that would refuse this query */
    void onEnd(Runnable stop) {
        stopTimer = stop;
    }

    /** Counts that what was known here was not the newest; returns how often that was so. */
    int stale() {
        return ++timesStale;
    }

    /** Tells all who wait the state of the job; null if there is no such job. */
    void answer(JobStatus status) {
        if (end(true)) {
            byte[] body = status == null ? new byte[0] : Cbor.encode(status.toNode());
            calls.forEach(call -> call.answer(status == null ? 404 : 200, body));
        }
    }

    /** Refuses all who wait for now. */
    void refuse() {
        if (end(false)) {
            calls.forEach(UserAnswers::refuse);
        }
    }

    private boolean end(boolean answered) {
        if (over) {
            return false;
        }
        over = true;
        stopTimer.run();
        metrics.questions(answered, calls.size());
        return true;
    }
}
