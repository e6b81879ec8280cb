package org.gullway.requests;

import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.CancelledTasks;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.PlacementConstraints;
import org.gullway.coordination.Transaction;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.Call;
import org.gullway.transport.EventLoop;

/**
 * Users' submissions, questions and cancellations. Nothing is told that is not on record, and no state that is not
 * final is told before the store has confirmed that it is still the newest.
 */
public final class UserApi {
    private final EventLoop loop;
    private final FinalStates finals;
    private final StatusQueries queries;
    private final Submissions submissions;
    private final CancellationRequests cancellations;

    /**
     * @param guardsPerCommit how many keys one request to the state service may compare
     * @param violated is told of answers that were withheld since their evidence was too old
     * @param changed asks for a round of decisions
     */
    public UserApi(
            EventLoop loop,
            ClusterView view,
            Ledger ledger,
            PlacementConstraints placing,
            RandomGenerator random,
            RequestMetrics metrics,
            int guardsPerCommit,
            CancelledTasks cancelled,
            Consumer<String> violated,
            Runnable changed) {
        this.loop = loop;
        this.finals = new FinalStates(view);
        StateAnswers answers = new StateAnswers(loop, finals::of, violated);
        JobLookUps forQuestions = new JobLookUps(loop, ledger.store(), ledger.questionReads(), finals, cancelled);
        JobLookUps lookUps = new JobLookUps(loop, ledger.store(), ledger.requestReads(), finals, cancelled);
        this.queries = new StatusQueries(loop, view, ledger, finals, forQuestions, answers, metrics, guardsPerCommit);
        this.submissions = new Submissions(
                loop, view, ledger, placing, random, metrics, finals, lookUps, queries, answers, changed);
        this.cancellations = new CancellationRequests(loop, view, ledger, finals, lookUps, answers, changed);
    }

    /** Answers a submission, at once or when the job is on record. */
    public void submit(Call call) {
        submissions.submit(arrived(call));
    }

    /** Answers a cancellation. */
    public void cancel(String id, Call call) {
        cancellations.cancel(id, arrived(call));
    }

    /** Answers a question about a job. */
    public void poll(String id, Call call) {
        queries.poll(id, arrived(call));
    }

    private UserCall arrived(Call call) {
        return new UserCall(call, loop.now());
    }

    // Part in the rounds of decisions

    /** Adds what users have asked for to the draft. */
    public void propose(Transaction draft, Instant timeOfDay) {
        cancellations.propose(draft, timeOfDay);
        submissions.propose(draft, timeOfDay);
    }

    /**
     * Tells the users of jobs that the draft, which has been committed, accepted or ended.
     *
     * @param sent when the commit was sent
     */
    public void committed(Transaction draft, long revision, Instant sent) {
        Evidence evidence = new Evidence(Evidence.Source.COMMIT, revision, sent);
        draft.changes().forEach((key, value) -> {
            if (value instanceof Transaction.Ended end) {
                String id = key.substring(Keys.ended("").length());
                finals.remember(new JobStatus(id, end.state(), end.done(), 0));
            } else if (key.startsWith(Keys.JOBS) && value instanceof JobRecord job) {
                submissions.committed(job, evidence);
            }
        });
        settle();
    }

    /** Takes notice of a draft that was not committed because these guards failed. */
    public void refused(Set<String> failedGuards) {
        submissions.refused(failedGuards);
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    public void settle() {
        cancellations.settle();
        submissions.settle();
    }
}
