package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.gullway.api.UserApi;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.cycle.CycleSteps;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.model.TransactionLimits;
import org.gullway.observability.Metrics;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The planning part of a scheduling cycle. Runs planning steps until the time budget is used up; the step in progress
 * is always completed. The steps add their changes to one transaction, which is then committed.
 *
 * <p>If a transaction cannot be encoded, the steps get a cycle and so a transaction each for a while. Then only the
 * step whose changes cannot be encoded fails, and the changes of the other steps are committed.
 */
final class SchedulingCycle {
    private static final Logger LOG = LoggerFactory.getLogger(SchedulingCycle.class);
    private static final Duration TIME_BUDGET = Duration.ofMillis(150);

    private final EventLoop loop;
    private final InstantSource wallClockTime;
    private final ClusterState clusterState;
    private final Incarnation self;
    private final ReplicatedState replicatedState;
    private final TransactionLimits limits;
    private final CompletionBuffer completionBuffer;
    private final UserApi userApi;
    private final Metrics metrics;
    private final Runnable requestCycle;
    private final CycleSteps steps = new CycleSteps(TIME_BUDGET);
    /** Set by {@link #run} for the steps, which are added before the transaction exists; not used between cycles. */
    private Transaction currentTransaction;

    SchedulingCycle(
            ControllerEnvironment environment,
            ReplicatedState replicatedState,
            CompletionBuffer completionBuffer,
            UserApi userApi,
            Metrics metrics) {
        this.loop = environment.loop();
        this.wallClockTime = environment.wallClockTime();
        this.clusterState = environment.clusterState();
        this.self = environment.self();
        this.limits = environment.transactionLimits();
        this.replicatedState = replicatedState;
        this.completionBuffer = completionBuffer;
        this.userApi = userApi;
        this.metrics = metrics;
        this.requestCycle = environment.requestCycle();
    }

    /**
     * Appends a step. Steps run in the order in which they were added. If a cycle exceeds its time budget, the next
     * cycle begins with the first step that did not run, and continues with the first of all steps after the last.
     */
    SchedulingCycle addStep(String name, PlanningStep step) {
        steps.add(name, () -> step.plan(currentTransaction, context()));
        return this;
    }

    /** Appends a step that does nothing unless this controller is the leader. */
    SchedulingCycle addLeaderStep(String name, PlanningStep step) {
        return addStep(name, (transaction, context) -> {
            if (context.leader()) {
                step.plan(transaction, context);
            }
        });
    }

    private PlanningContext context() {
        return new PlanningContext(loop.now(), isRecordedLeader(), replicatedState::hasSpareWriteCapacity);
    }

    /**
     * Returns whether the cluster state records this process as the leader. This may be true although its membership
     * lease has expired.
     */
    boolean isRecordedLeader() {
        return self.equals(clusterState.leader());
    }

    /**
     * Plans the changes that are due and commits them. Must be called only while {@link ReplicatedState#canCommit()}
     * returns true.
     *
     * @param startedAt when the scheduling cycle started, which is before its commands were sent; the start of the time
     *     budget and of the measured latency of the transaction
     */
    void run(Instant startedAt) {
        replicatedState.updateChangeShare(isRecordedLeader());
        Transaction transaction = new Transaction(
                clusterState, self, limits.withMaxChanges(replicatedState.availableChanges()), wallClockTime.instant());
        currentTransaction = transaction;
        claimOrConfirmLeadership(transaction);
        completionBuffer.releaseResources(transaction);
        Optional<String> isolatedStep = steps.run(startedAt, loop::now);
        completionBuffer.addToChangedJobs(transaction);
        if (!transaction.isEmpty()) {
            commit(transaction, startedAt, isolatedStep);
        } else if (isolatedStep.isPresent()) {
            requestCycle.run();
        }
    }

    private void claimOrConfirmLeadership(Transaction transaction) {
        if (clusterState.leader() == null) {
            transaction.put(StoreKeys.LEADER, self);
        } else if (isRecordedLeader()) {
            // The transaction must fail if another controller is the leader by now. This controller may not know: after
            // its membership lease expired, it may become a member again before the watch delivers the new leader.
            transaction.requireUnchanged(StoreKeys.LEADER);
        }
    }

    private void commit(Transaction transaction, Instant startedAt, Optional<String> isolatedStep) {
        Instant sentAt = loop.now();
        replicatedState.commit(transaction, result -> {
            Duration elapsed = Duration.between(startedAt, loop.now());
            metrics.transactionFinished(
                    result.isCommitted(), transaction.changes().keySet(), elapsed);
            switch (result.status()) {
                case COMMITTED -> userApi.onCommitted(transaction, result.revision(), sentAt);
                case UNCONFIRMED -> userApi.onConflict(result.failedConditions());
                case NOT_ENCODABLE -> onNotEncodable(isolatedStep);
            }
        });
    }

    /** @param isolatedStep the only step that has planned the transaction; empty if there may be several */
    private void onNotEncodable(Optional<String> isolatedStep) {
        if (isolatedStep.isPresent()) {
            LOG.error("the changes of a scheduling cycle step cannot be encoded step={}", isolatedStep.get());
        } else {
            steps.isolate();
        }
    }
}
