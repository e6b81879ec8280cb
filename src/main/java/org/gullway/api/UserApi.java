package org.gullway.api;

import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;

/**
 * Users' submissions, questions and cancellations. Nothing is told that is not on record, and no state that is not
 * final is told before the store has confirmed that it is still the newest.
 */
public final class UserApi implements PlanningStep {
    private final EventLoop loop;
    private final FinalStateCache finalStates;
    private final StatusQueryHandler statusQueries;
    private final SubmissionHandler submissions;
    private final CancellationHandler cancellations;

    /**
     * @param guardsPerCommit how many keys one request to the state service may compare
     * @param violated is told of answers that were withheld since their evidence was too old
     * @param changed asks for a round of decisions
     */
    public UserApi(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            MachineTypeCatalog machineTypes,
            JobFeasibility feasibility,
            RandomGenerator random,
            RequestMetrics metrics,
            int guardsPerCommit,
            CancellationEnforcer cancellationEnforcer,
            Consumer<String> violated,
            Runnable changed) {
        this.loop = loop;
        this.finalStates = new FinalStateCache(clusterState);
        LinearizableResponses responses = new LinearizableResponses(loop, finalStates::of, violated);
        JobLookup forQuestions = new JobLookup(
                loop, replicatedState.store(), replicatedState.queryReadLimit(), finalStates, cancellationEnforcer);
        JobLookup jobLookup = new JobLookup(
                loop, replicatedState.store(), replicatedState.requestReadLimit(), finalStates, cancellationEnforcer);
        this.statusQueries = new StatusQueryHandler(
                loop, clusterState, replicatedState, finalStates, forQuestions, responses, metrics, guardsPerCommit);
        this.submissions = new SubmissionHandler(
                loop,
                clusterState,
                replicatedState,
                machineTypes,
                feasibility,
                random,
                metrics,
                finalStates,
                jobLookup,
                statusQueries,
                responses,
                changed);
        this.cancellations = new CancellationHandler(
                loop, clusterState, replicatedState, finalStates, jobLookup, responses, changed);
    }

    /** Answers a submission, at once or when the job is on record. */
    public void submit(HttpExchange exchange) {
        submissions.submit(arrived(exchange));
    }

    /** Answers a cancellation. */
    public void cancel(String id, HttpExchange exchange) {
        cancellations.cancel(id, arrived(exchange));
    }

    /** Answers a question about a job. */
    public void queryStatus(String id, HttpExchange exchange) {
        statusQueries.query(id, arrived(exchange));
    }

    private UserRequest arrived(HttpExchange exchange) {
        return new UserRequest(exchange, loop.now());
    }

    // Part in the rounds of decisions

    /** Adds what users have asked for to the draft. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        cancellations.plan(transaction);
        submissions.plan(transaction);
    }

    /**
     * Tells the users of jobs that the draft, which has been committed, accepted or ended.
     *
     * @param sent when the commit was sent
     */
    public void onCommitted(Transaction transaction, long revision, Instant sent) {
        ReadFreshness freshness = new ReadFreshness(ReadFreshness.Source.COMMIT, revision, sent);
        transaction.changes().forEach((key, value) -> {
            if (value instanceof FinalState end) {
                String id = key.substring(StoreKeys.finalState("").length());
                finalStates.remember(new JobStatus(id, end.state(), end.done(), 0));
            } else if (key.startsWith(StoreKeys.JOBS) && value instanceof JobRecord job) {
                submissions.onCommitted(job, freshness);
            }
        });
        completePending();
    }

    /** Takes notice of a draft that was not committed because these guards failed. */
    public void onConflict(Set<String> failedGuards) {
        submissions.onConflict(failedGuards);
    }

    /** Answers what the view answers by now, and gives up what took too long. */
    public void completePending() {
        cancellations.completePending();
        submissions.completePending();
    }
}
