package org.gullway.api;

import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.TokenBucket;

/**
 * Handles the requests of users: submissions, status queries and cancellations. A submission or cancellation is
 * confirmed only after it has been committed to the state store. A state that is not final is reported only after the
 * state store has confirmed that it is the newest.
 */
public final class UserApi implements PlanningStep {
    private final EventLoop loop;
    private final FinalStateCache finalStates;
    private final StatusQueryHandler statusQueries;
    private final SubmissionHandler submissions;
    private final CancellationHandler cancellations;

    /**
     * @param admission decides which jobs are accepted and which controllers own them
     * @param conditionsPerTransaction maximum number of key versions that one request to the state store can compare
     * @param onViolation receives a description of each response that was withheld because its state was too old
     * @param requestCycle requests a scheduling cycle, which commits pending submissions and cancellations
     */
    public UserApi(
            EventLoop loop,
            ClusterState clusterState,
            ReplicatedState replicatedState,
            JobAdmission admission,
            RequestMetrics metrics,
            int conditionsPerTransaction,
            CancellationEnforcer cancellationEnforcer,
            Consumer<String> onViolation,
            Runnable requestCycle) {
        this.loop = loop;
        this.finalStates = new FinalStateCache(clusterState);
        RequestContext context = new RequestContext(
                loop,
                clusterState,
                replicatedState,
                finalStates,
                new LinearizableResponses(loop, finalStates::find, onViolation),
                metrics,
                requestCycle);
        // Lookups for submissions and cancellations have a rate limit of their own, so that status queries cannot delay
        // them.
        JobLookup queryLookup = newJobLookup(context, replicatedState.queryReadLimit(), cancellationEnforcer);
        JobLookup mutationLookup = newJobLookup(context, replicatedState.mutationReadLimit(), cancellationEnforcer);
        this.statusQueries = new StatusQueryHandler(context, queryLookup, conditionsPerTransaction);
        this.submissions = new SubmissionHandler(context, admission, mutationLookup, statusQueries);
        this.cancellations = new CancellationHandler(context, mutationLookup);
    }

    private static JobLookup newJobLookup(
            RequestContext context, TokenBucket rateLimit, CancellationEnforcer cancellationEnforcer) {
        JobReader reader = new JobReader(
                context.loop(),
                context.replicatedState().store(),
                rateLimit,
                context.finalStates(),
                cancellationEnforcer);
        return new JobLookup(context.loop(), rateLimit, context.finalStates(), reader);
    }

    /** Responds to a submission, immediately or after the job has been committed. */
    public void submit(HttpExchange exchange) {
        submissions.submit(withArrivalTime(exchange));
    }

    /** Responds to a cancellation, immediately or after it has been committed. */
    public void cancel(String id, HttpExchange exchange) {
        cancellations.cancel(id, withArrivalTime(exchange));
    }

    /** Responds to a status query, immediately or after the state store has confirmed the job's state. */
    public void queryStatus(String id, HttpExchange exchange) {
        statusQueries.query(id, withArrivalTime(exchange));
    }

    private UserRequest withArrivalTime(HttpExchange exchange) {
        return new UserRequest(exchange, loop.now());
    }

    /** Adds pending cancellations and submissions to the transaction; cancellations come first. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        cancellations.plan(transaction);
        submissions.plan(transaction);
    }

    /**
     * Responds to the pending requests whose outcome is known after a transaction has been committed. Also rejects
     * requests as {@link #completePending} does.
     *
     * @param revision revision of the state store at which the transaction was committed
     * @param sentAt when the transaction was sent
     */
    public void onCommitted(Transaction transaction, Count revision, Instant sentAt) {
        StateFreshness freshness = new StateFreshness(StateFreshness.Source.COMMIT, revision, sentAt);
        transaction.changes().forEach((key, value) -> {
            if (value instanceof FinalState finalState) {
                String id = key.substring(StoreKeys.finalState("").length());
                finalStates.put(new JobStatus(id, finalState.state(), finalState.done(), 0));
            } else if (key.startsWith(StoreKeys.JOBS) && value instanceof JobRecord job) {
                submissions.onCommitted(job, freshness);
            }
        });
        completePending();
    }

    /**
     * Responds to the pending submissions of jobs that have already ended. A failed condition on the key of a job's
     * final state means that the job has ended.
     *
     * @param failedConditions keys whose conditions failed in a transaction
     */
    public void onConflict(Set<String> failedConditions) {
        submissions.onConflict(failedConditions);
    }

    /**
     * Responds to the pending submissions and cancellations whose outcome the cluster state now shows. Rejects those
     * that have timed out, and all others if this controller no longer holds a valid lease.
     */
    public void completePending() {
        cancellations.completePending();
        submissions.completePending();
    }
}
