package org.gullway.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.EventLoop;

/** Users' cancellations from their arrival until they are on record and their users have been told so. */
final class CancellationRequests {
    private static final Duration PATIENCE = Duration.ofSeconds(2);
    private static final int MOST_PENDING = 500;

    private final EventLoop loop;
    private final ClusterView view;
    private final Ledger ledger;
    private final FinalStates finals;
    private final JobLookUps lookUps;
    private final StateAnswers answers;
    private final Runnable changed;
    private final Map<String, Cancellation> pending = new LinkedHashMap<>();

    /**
     * A cancellation that waits to be recorded.
     *
     * @param readAt revision at which the job was read, since the view lacked it; 0 if the view had it
     */
    private record Cancellation(String id, Instant came, long readAt, List<UserCall> calls) {}

    /** @param changed asks for a round of decisions */
    CancellationRequests(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            FinalStates finals,
            JobLookUps lookUps,
            StateAnswers answers,
            Runnable changed) {
        this.loop = loop;
        this.view = view;
        this.ledger = ledger;
        this.finals = finals;
        this.lookUps = lookUps;
        this.answers = answers;
        this.changed = changed;
    }

    /** Cancels the job and answers when that is on record, or at once if it is over or nobody knows it. */
    void cancel(String id, UserCall call) {
        if (!JobRequest.isId(id)) {
            UserAnswers.notAnId(call.call());
        } else if (!ledger.entitled()) {
            UserAnswers.refuse(call.call());
        } else if (pending.size() >= MOST_PENDING) {
            call.call().refuse(429, UserAnswers.RETRY_AFTER);
        } else if (view.job(id) == null) {
            lookUps.lookUp(id, found -> cancelFound(found, call), () -> UserAnswers.refuse(call.call()));
        } else {
            enqueue(id, call, 0);
        }
    }

    private void cancelFound(JobFinding found, UserCall call) {
        if (found.status() == null || found.isFinal()) {
            answers.answerCancellation(call, found);
        } else {
            enqueue(found.id(), call, found.evidence().revision());
        }
    }

    private void enqueue(String id, UserCall call, long readAt) {
        pending.computeIfAbsent(id, i -> new Cancellation(i, loop.now(), readAt, new ArrayList<>()))
                .calls()
                .add(call);
        changed.run();
    }

    /** Adds the cancellations that wait to the draft, as far as it has room. */
    void propose(Transaction draft, Instant timeOfDay) {
        for (Cancellation cancellation : pending.values()) {
            JobRecord job = draft.job(cancellation.id());
            if (job != null && !job.cancelled() && draft.hasRoomFor(2)) {
                draft.putJob(job.cancel(timeOfDay));
            }
        }
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    void settle() {
        Instant now = loop.now();
        boolean entitled = ledger.entitled();
        for (String id : List.copyOf(pending.keySet())) {
            Cancellation cancellation = pending.get(id);
            JobStatus end = finals.of(id);
            if (end != null) {
                JobFinding found = JobFinding.ofFinalState(end);
                pending.remove(id).calls().forEach(call -> answers.answerCancellation(call, found));
            } else if (view.job(id) == null && view.watched() >= cancellation.readAt()) {
                // It has ended since. A job that was read is only still to come: it was once read again and again until
                // then, with what is meant for submissions (incident went-back-384079).
                pending.remove(id).calls().forEach(call -> cancel(id, call));
            } else if (!entitled || cancellation.came().plus(PATIENCE).isBefore(now)) {
                pending.remove(id).calls().forEach(call -> UserAnswers.refuse(call.call()));
            }
        }
    }
}
