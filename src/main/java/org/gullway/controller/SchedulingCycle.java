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
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/** Lets every step add its changes to one draft, within a budget of time, and commits it. */
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
    /** The commit that the present round makes. */
    private Transaction current;

    SchedulingCycle(
            EventLoop loop,
            InstantSource timeOfDay,
            ClusterState clusterState,
            Incarnation self,
            ReplicatedState replicatedState,
            Transaction.Limits limits,
            CompletionBuffer completionBuffer,
            UserApi userApi,
            Metrics metrics) {
        this.loop = loop;
        this.timeOfDay = timeOfDay;
        this.clusterState = clusterState;
        this.self = self;
        this.replicatedState = replicatedState;
        this.limits = limits;
        this.completionBuffer = completionBuffer;
        this.userApi = userApi;
        this.metrics = metrics;
    }

    /** Adds a step; steps run in the order in which they were added, unless the last round ran out of time. */
    SchedulingCycle addStep(String name, PlanningStep step) {
        steps.add(name, () -> step.plan(current, context()));
        return this;
    }

    /** Adds a step that does nothing except on the leader. */
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

    /** Makes the decisions that are due and sends their commit. To be called only while the ledger is ready. */
    void run(Instant began) {
        replicatedState.setWriteShare(isLeader());
        Transaction transaction = new Transaction(
                clusterState, self, limits.withMaxChanges(replicatedState.availableChanges()), timeOfDay.instant());
        current = transaction;
        if (clusterState.leader() == null) {
            transaction.put(StoreKeys.LEADER, self);
        } else if (isLeader()) {
            // A former leader whose membership lapsed may be a member again before it hears of its successor.
            transaction.requireUnchanged(StoreKeys.LEADER);
        }
        completionBuffer.releaseResources(transaction);
        steps.run(began, loop::now);
        completionBuffer.addToChangedJobs(transaction);
        if (!transaction.isEmpty()) {
            commit(transaction, began);
        }
    }

    private void commit(Transaction transaction, Instant began) {
        Instant sent = loop.now();
        replicatedState.commit(transaction, result -> {
            Duration took = Duration.between(began, loop.now());
            metrics.commitFinished(result.committed(), transaction.changes().keySet(), took);
            if (result.committed()) {
                userApi.onCommitted(transaction, result.revision(), sent);
            } else {
                userApi.onConflict(result.failedConditions());
            }
        });
    }
}
