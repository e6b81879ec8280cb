package org.gullway.bookkeeping;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Keys;
import org.gullway.coordination.Transaction;
import org.gullway.transport.Budget;
import org.gullway.transport.EventLoop;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits drafts, one at a time. A commit without an answer is ruled out, by writing the own member key anew, before
 * the next one goes out.
 */
final class CommitQueue {
    private static final Logger LOG = LoggerFactory.getLogger(CommitQueue.class);
    private static final Duration BUSY_MEMORY = Duration.ofSeconds(10);
    private static final Duration BUSY_RETRY = Duration.ofMillis(120);
    private static final Duration REFUSED_RETRY = Duration.ofMillis(20);

    private final EventLoop loop;
    private final StateStore store;
    private final ClusterView view;
    private final MemberRegistration member;
    private final StoreWatch watch;
    private final Ledger.Pace pace;
    private final Budget changes;
    private final Budget requests;
    private final Runnable changed;
    private final RefusalHistory refusals = new RefusalHistory();
    private boolean committing;
    private Instant notBefore = Instant.MIN;
    /** Until then the store counts as busy, and this controller keeps to its fair part of the changes. */
    private Instant busyUntil = Instant.MIN;

    /** A commit on its way, with the membership and the marks under which it was sent. */
    private record Sent(Transaction draft, Instant at, long lease, int term, long knownTo, Map<String, Long> marks) {}

    CommitQueue(
            EventLoop loop,
            StateStore store,
            ClusterView view,
            MemberRegistration member,
            StoreWatch watch,
            Ledger.Pace pace,
            Budget requests,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.view = view;
        this.member = member;
        this.watch = watch;
        this.pace = pace;
        this.changes = new Budget(loop, pace.changesPerSecond());
        this.requests = requests;
        this.changed = changed;
    }

    /** See {@link Ledger#share}. */
    void share(boolean leading) {
        changes.take(loop.now().isBefore(busyUntil) ? pace.fairPart(leading) : Ledger.Pace.FREE_PART);
    }

    int changesLeft() {
        return changes.left();
    }

    boolean plenty() {
        return changes.plenty();
    }

    /** Forgets the commit in flight: it was guarded by the key of a former membership. */
    void membershipBegan() {
        committing = false;
    }

    /** Whether a draft could be committed now, provided that this controller is entitled to act. */
    boolean ready() {
        if (committing || loop.now().isBefore(notBefore) || !changes.gathered()) {
            return false;
        }
        // What a former holder of this name, or of the leadership, has placed must be known first.
        return view.watched() >= Math.max(member.memberSince(), leaderSince()) && watch.reachedAwaited();
    }

    private long leaderSince() {
        return member.self().equals(view.leader()) ? view.mark(Keys.LEADER) : 0;
    }

    /** See {@link Ledger#commit}. */
    void commit(Transaction draft, Consumer<Ledger.Result> callback) {
        committing = true;
        changes.spend(draft.changes().size());
        requests.spend(1);
        Map<String, Long> marks = new HashMap<>();
        draft.guards().forEach(key -> marks.put(key, view.mark(key)));
        Sent sent = new Sent(draft, loop.now(), member.lease(), member.term(), view.watched(), marks);
        store.commit(draft.guards(), marks::get, draft.changes(), sent.lease(), outcome -> {
            if (outcome.is(200)) {
                if (LOG.isDebugEnabled()) {
                    logCarriedOut(sent, outcome.revision());
                }
                carriedOut(sent, outcome.revision(), callback);
            } else if (outcome.unknown()) {
                LOG.info("a commit got no answer; writing the member key anew");
                ruleOut(() -> callback.accept(Ledger.Result.REFUSED));
            } else {
                callback.accept(Ledger.Result.refused(refused(sent, outcome)));
            }
        });
    }

    private void carriedOut(Sent sent, long revision, Consumer<Ledger.Result> callback) {
        ended(sent.term());
        refusals.clear();
        sent.draft().changes().forEach((key, value) -> applyToView(key, value, revision));
        pauseFor(requests.pause());
        callback.accept(Ledger.Result.committed(revision));
        changed.run();
    }

    private void logCarriedOut(Sent sent, long revision) {
        LOG.debug(
                "committed at revision {} after {} ms, drafted at revision {}: {}",
                revision,
                Duration.between(sent.at(), loop.now()).toMillis(),
                sent.knownTo(),
                sent.draft().changes().keySet());
    }

    private void applyToView(String key, Object value, long revision) {
        if (value == null) {
            view.remove(key, revision);
        } else if (key.startsWith(Keys.LIVE)) {
            view.put(key, value, revision);
        }
    }

    private void pauseFor(Duration pause) {
        notBefore = loop.now().plus(pause);
        loop.after(pause, changed);
    }

    private void ended(int sentIn) {
        if (sentIn == member.term()) {
            committing = false;
        }
    }

    /** Takes an answer that rules out the commit; returns the keys whose guards failed. */
    private Set<String> refused(Sent sent, StateStore.Outcome outcome) {
        ended(sent.term());
        if (outcome.is(409)) {
            Set<String> failed = outcome.failedGuards();
            guardsFailed(sent, failed, outcome.revision());
            return failed;
        }
        if (outcome.status() == 429) {
            busyUntil = loop.now().plus(BUSY_MEMORY);
        }
        pauseFor(BUSY_RETRY);
        if (outcome.status() == 400) {
            LOG.info("a commit was refused: {}", outcome.body());
        }
        return Set.of();
    }

    private void guardsFailed(Sent sent, Set<String> failed, long revision) {
        LOG.debug("guards failed at revision {}, drafted at {}: {}", revision, sent.knownTo(), failed);
        if (failed.contains(member.key()) && sent.lease() == member.lease()) {
            member.join();
            return;
        }
        if (refusals.repeated(failed, sent.marks(), revision, sent.knownTo())) {
            LOG.error("refused again for {}, which the watch should have brought; reading anew", failed);
            refusals.clear();
            watch.readAll();
        } else {
            await(revision);
        }
    }

    private void await(long revision) {
        if (!watch.await(revision)) {
            pauseFor(REFUSED_RETRY);
        }
    }

    /** Makes sure that earlier commits of this controller can no longer be carried out. */
    private void ruleOut(Runnable then) {
        long lease = member.lease();
        int sentIn = member.term();
        store.commit(Set.of(member.key()), view::mark, Map.of(member.key(), member.self()), lease, outcome -> {
            if (outcome.is(200)) {
                member.rewritten(outcome.revision());
                ended(sentIn);
                await(outcome.revision());
                then.run();
            } else if (outcome.is(409) || outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 400) {
                // Either the membership has ended, or an earlier try of this very write was carried out. An answer
                // that comes after this controller has joined anew says nothing about its present membership.
                then.run();
                if (lease == member.lease()) {
                    member.join();
                }
            } else {
                loop.after(StateStore.RETRY, () -> ruleOutAgain(lease, sentIn, then));
            }
        });
    }

    private void ruleOutAgain(long lease, int sentIn, Runnable then) {
        if (member.isCurrent(lease)) {
            ruleOut(then);
        } else {
            ended(sentIn);
            then.run();
        }
    }
}
