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
import org.gullway.protocol.JobStatus;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpExchange;
import org.gullway.transport.TokenBucket;

/**
 * The requests of users: submissions, status queries and cancellations. Nothing is confirmed to a user that is not on
 * record, and no state that is not final is reported before the state store has confirmed that it is the newest.
 */
public final class UserApi implements PlanningStep {
    private final EventLoop loop;
    private final FinalStateCache finalStates;
    private final StatusQueryHandler statusQueries;
    private final SubmissionHandler submissions;
    private final CancellationHandler cancellations;

    /**
     * @param admission decides which jobs are accepted, and who owns them
     * @param conditionsPerTransaction how many key versions one request to the state store may compare
     * @param onViolation receives a description of each response that was withheld since its state was too old
     * @param requestCycle asks for a scheduling cycle
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
        // Submissions and cancellations have a rate limit of their own, so that queries cannot delay them.
        JobLookup queryLookup = newJobLookup(context, replicatedState.queryReadLimit(), cancellationEnforcer);
        JobLookup requestLookup = newJobLookup(context, replicatedState.mutationReadLimit(), cancellationEnforcer);
        this.statusQueries = new StatusQueryHandler(context, queryLookup, conditionsPerTransaction);
        this.submissions = new SubmissionHandler(context, admission, requestLookup, statusQueries);
        this.cancellations = new CancellationHandler(context, requestLookup);
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

    /** Responds to a submission, at once or when the job is on record. */
    public void submit(HttpExchange exchange) {
        submissions.submit(arrived(exchange));
    }

    /** Responds to a cancellation, at once or when it is on record. */
    public void cancel(String id, HttpExchange exchange) {
        cancellations.cancel(id, arrived(exchange));
    }

    /** Responds to a status query, at once or when the state is confirmed. */
    public void queryStatus(String id, HttpExchange exchange) {
        statusQueries.query(id, arrived(exchange));
    }

    private UserRequest arrived(HttpExchange exchange) {
        return new UserRequest(exchange, loop.now());
    }

    /** Adds what users have asked for to the transaction. */
    @Override
    public void plan(Transaction transaction, PlanningContext context) {
        cancellations.plan(transaction);
        submissions.plan(transaction);
    }

    /**
     * Responds to the users of jobs that a committed transaction has accepted or ended.
     *
     * @param sentAt when the transaction was sent
     */
    public void onCommitted(Transaction transaction, long revision, Instant sentAt) {
        ReadFreshness freshness = new ReadFreshness(ReadFreshness.Source.COMMIT, revision, sentAt);
        transaction.changes().forEach((key, value) -> {
            if (value instanceof FinalState finalState) {
                String id = key.substring(StoreKeys.finalState("").length());
                finalStates.remember(new JobStatus(id, finalState.state(), finalState.done(), 0));
            } else if (key.startsWith(StoreKeys.JOBS) && value instanceof JobRecord job) {
                submissions.onCommitted(job, freshness);
            }
        });
        completePending();
    }

    /** Responds to the users of jobs that, as the failed conditions of a transaction show, have already ended. */
    public void onConflict(Set<String> failedConditions) {
        submissions.onConflict(failedConditions);
    }

    /** Responds to all pending requests that the cluster state answers by now, and rejects those that timed out. */
    public void completePending() {
        cancellations.completePending();
        submissions.completePending();
    }
}
