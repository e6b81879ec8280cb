package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.gullway.api.UserApi;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.cycle.CycleSteps;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.cycle.PlanningStep;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.observability.Metrics;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/** Lets every planning step add its changes to one transaction, within a budget of time, and commits it. */
final class SchedulingCycle {
    private static final Duration TIME_BUDGET = Duration.ofMillis(150);

    private final EventLoop loop;
    private final InstantSource timeOfDay;
    private final ClusterState clusterState;
    private final Incarnation self;
    private final ReplicatedState replicatedState;
    private final Transaction.Limits limits;
    private final CompletionBuffer completionBuffer;
    private final UserApi userApi;
    private final Metrics metrics;
    private final CycleSteps steps = new CycleSteps(TIME_BUDGET);
    /** The transaction of the present cycle. */
    private Transaction current;

    SchedulingCycle(
            ControllerEnvironment environment,
            ReplicatedState replicatedState,
            CompletionBuffer completionBuffer,
            UserApi userApi,
            Metrics metrics) {
        this.loop = environment.loop();
        this.timeOfDay = environment.timeOfDay();
        this.clusterState = environment.clusterState();
        this.self = environment.self();
        this.limits = limits(environment.settings());
        this.replicatedState = replicatedState;
        this.completionBuffer = completionBuffer;
        this.userApi = userApi;
        this.metrics = metrics;
    }

    private static Transaction.Limits limits(Settings settings) {
        return new Transaction.Limits(settings.stateChangesPerCommit(), settings.stateValueBytes());
    }

    /** Adds a step; steps run in the order in which they were added, unless the last cycle ran out of time. */
    SchedulingCycle addStep(String name, PlanningStep step) {
        steps.add(name, () -> step.plan(current, context()));
        return this;
    }

    /** Adds a step that is left out unless this controller is the leader. */
    SchedulingCycle addLeaderStep(String name, PlanningStep step) {
        return addStep(name, (transaction, context) -> {
            if (context.leader()) {
                step.plan(transaction, context);
            }
        });
    }

    private PlanningContext context() {
        return new PlanningContext(loop.now(), isLeader(), replicatedState::hasSurplusChanges);
    }

    /** Whether this process is the leader on record. */
    boolean isLeader() {
        return self.equals(clusterState.leader());
    }

    /** Plans the changes that are due and commits them. To be called only while the replicated state can commit. */
    void run(Instant startedAt) {
        replicatedState.updateChangeShare(isLeader());
        Transaction transaction = new Transaction(
                clusterState, self, limits.withMaxChanges(replicatedState.availableChanges()), timeOfDay.instant());
        current = transaction;
        claimOrConfirmLeadership(transaction);
        completionBuffer.releaseResources(transaction);
        steps.run(startedAt, loop::now);
        completionBuffer.addToChangedJobs(transaction);
        if (!transaction.isEmpty()) {
            commit(transaction, startedAt);
        }
    }

    private void claimOrConfirmLeadership(Transaction transaction) {
        if (clusterState.leader() == null) {
            transaction.put(StoreKeys.LEADER, self);
        } else if (isLeader()) {
            // A former leader whose membership lease expired may be a member again before it hears of its successor.
            transaction.requireUnchanged(StoreKeys.LEADER);
        }
    }

    private void commit(Transaction transaction, Instant startedAt) {
        Instant sentAt = loop.now();
        replicatedState.commit(transaction, result -> {
            Duration elapsed = Duration.between(startedAt, loop.now());
            metrics.commitFinished(result.committed(), transaction.changes().keySet(), elapsed);
            if (result.committed()) {
                userApi.onCommitted(transaction, result.revision(), sentAt);
            } else {
                userApi.onConflict(result.failedConditions());
            }
        });
    }
}
