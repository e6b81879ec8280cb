package org.gullway;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.gullway.bookkeeping.Ledger;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.DecisionSteps;
import org.gullway.coordination.EndedAttempts;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.Keys;
import org.gullway.coordination.Transaction;
import org.gullway.requests.UserApi;
import org.gullway.transport.EventLoop;

/** Lets every step add its changes to one draft, within a budget of time, and commits it. */
final class DecisionRound {
    private static final Duration TIME_BUDGET = Duration.ofMillis(150);

    private final EventLoop loop;
    private final InstantSource timeOfDay;
    private final ClusterView view;
    private final Incarnation self;
    private final Ledger ledger;
    private final Transaction.Limits limits;
    private final EndedAttempts ended;
    private final UserApi users;
    private final Metrics metrics;
    private final DecisionSteps steps = new DecisionSteps(TIME_BUDGET);
    /** The commit that the present round makes. */
    private Transaction draft;

    DecisionRound(
            EventLoop loop,
            InstantSource timeOfDay,
            ClusterView view,
            Incarnation self,
            Ledger ledger,
            Transaction.Limits limits,
            EndedAttempts ended,
            UserApi users,
            Metrics metrics) {
        this.loop = loop;
        this.timeOfDay = timeOfDay;
        this.view = view;
        this.self = self;
        this.ledger = ledger;
        this.limits = limits;
        this.ended = ended;
        this.users = users;
        this.metrics = metrics;
    }

    /** Adds a step; steps run in the order in which they were added, unless the last round ran out of time. */
    DecisionRound step(String name, Consumer<Transaction> action) {
        steps.add(name, () -> action.accept(draft));
        return this;
    }

    /** Adds a step that does nothing except on the leader. */
    DecisionRound leaderStep(String name, Consumer<Transaction> action) {
        return step(name, made -> {
            if (leads()) {
                action.accept(made);
            }
        });
    }

    /** Whether this process is the leader on record. */
    boolean leads() {
        return self.equals(view.leader());
    }

    /** Makes the decisions that are due and sends their commit. To be called only while the ledger is ready. */
    void decide(Instant began) {
        ledger.share(leads());
        Transaction made = new Transaction(view, self, limits.atMost(ledger.changesLeft()), timeOfDay.instant());
        draft = made;
        if (view.leader() == null) {
            made.put(Keys.LEADER, self);
        } else if (leads()) {
            // A former leader whose membership lapsed may be a member again before it hears of its successor.
            made.rely(Keys.LEADER);
        }
        ended.credit(made);
        steps.run(began, loop::now);
        ended.join(made);
        if (!made.isEmpty()) {
            commit(made, began);
        }
    }

    private void commit(Transaction made, Instant began) {
        Instant sent = loop.now();
        ledger.commit(made, result -> {
            Duration took = Duration.between(began, loop.now());
            metrics.committed(result.committed(), made.changes().keySet(), took);
            if (result.committed()) {
                users.committed(made, result.revision(), sent);
            } else {
                users.refused(result.failed());
            }
        });
    }
}
