package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.coordination.model.Transaction;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpResponse;
import org.gullway.transport.TokenBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits drafts, one at a time. A commit without an answer is ruled out, by writing the own member key anew, before
 * the next one goes out.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);
    private static final Duration BUSY_MEMORY = Duration.ofSeconds(10);
    private static final Duration BUSY_RETRY = Duration.ofMillis(120);
    private static final Duration REFUSED_RETRY = Duration.ofMillis(20);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;
    private final WatchStream watchStream;
    private final ReplicatedState.StoreRateLimits rateLimits;
    private final TokenBucket changes;
    private final TokenBucket requests;
    private final Runnable changed;
    private final ConflictHistory refusals = new ConflictHistory();
    private boolean committing;
    private Instant notBefore = Instant.MIN;
    /** Until then the store counts as busy, and this controller keeps to its fair part of the changes. */
    private Instant busyUntil = Instant.MIN;

    /** A commit on its way, with the membership and the marks under which it was sent. */
    private record Sent(
            Transaction transaction, Instant at, long lease, int term, long knownTo, Map<String, Long> marks) {}

    TransactionCommitter(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            MembershipLease membershipLease,
            WatchStream watchStream,
            ReplicatedState.StoreRateLimits rateLimits,
            TokenBucket requests,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membershipLease = membershipLease;
        this.watchStream = watchStream;
        this.rateLimits = rateLimits;
        this.changes = new TokenBucket(loop, rateLimits.changesPerSecond());
        this.requests = requests;
        this.changed = changed;
    }

    /** See {@link ReplicatedState#setWriteShare}. */
    void share(boolean leading) {
        changes.setShare(
                loop.now().isBefore(busyUntil)
                        ? rateLimits.contendedShare(leading)
                        : ReplicatedState.StoreRateLimits.UNCONTENDED_SHARE);
    }

    int changesLeft() {
        return changes.availableTokens();
    }

    boolean plenty() {
        return changes.hasSurplus();
    }

    /** Forgets the commit in flight: it was guarded by the key of a former membership. */
    void membershipBegan() {
        committing = false;
    }

    /** Whether a draft could be committed now, provided that this controller is entitled to act. */
    boolean ready() {
        if (committing || loop.now().isBefore(notBefore) || !changes.hasBatch()) {
            return false;
        }
        // What a former holder of this name, or of the leadership, has placed must be known first.
        return clusterState.watchedRevision() >= Math.max(membershipLease.memberSince(), leaderSince())
                && watchStream.reachedAwaited();
    }

    private long leaderSince() {
        return membershipLease.self().equals(clusterState.leader()) ? clusterState.version(StoreKeys.LEADER) : 0;
    }

    /** See {@link ReplicatedState#commit}. */
    void commit(Transaction transaction, Consumer<ReplicatedState.CommitResult> callback) {
        committing = true;
        changes.consume(transaction.changes().size());
        requests.consume(1);
        Map<String, Long> marks = new HashMap<>();
        transaction.conditions().forEach(key -> marks.put(key, clusterState.version(key)));
        Sent sent = new Sent(
                transaction,
                loop.now(),
                membershipLease.lease(),
                membershipLease.term(),
                clusterState.watchedRevision(),
                marks);
        store.commit(transaction.conditions(), marks::get, transaction.changes(), sent.lease(), outcome -> {
            if (outcome.is(200)) {
                if (LOG.isDebugEnabled()) {
                    logCarriedOut(sent, outcome.revision());
                }
                carriedOut(sent, outcome.revision(), callback);
            } else if (outcome.isUnknown()) {
                LOG.info("a commit got no answer; writing the member key anew");
                ruleOut(() -> callback.accept(ReplicatedState.CommitResult.REFUSED));
            } else {
                callback.accept(ReplicatedState.CommitResult.refused(refused(sent, outcome)));
            }
        });
    }

    private void carriedOut(Sent sent, long revision, Consumer<ReplicatedState.CommitResult> callback) {
        ended(sent.term());
        refusals.clear();
        sent.transaction().changes().forEach((key, value) -> applyToView(key, value, revision));
        pauseFor(requests.batchingDelay());
        callback.accept(ReplicatedState.CommitResult.committed(revision));
        changed.run();
    }

    private void logCarriedOut(Sent sent, long revision) {
        LOG.debug(
                "committed at revision {} after {} ms, drafted at revision {}: {}",
                revision,
                Duration.between(sent.at(), loop.now()).toMillis(),
                sent.knownTo(),
                sent.transaction().changes().keySet());
    }

    private void applyToView(String key, StoreRecord value, long revision) {
        if (value == null) {
            clusterState.remove(key, revision);
        } else if (key.startsWith(StoreKeys.LIVE)) {
            clusterState.put(key, value, revision);
        }
    }

    private void pauseFor(Duration pause) {
        notBefore = loop.now().plus(pause);
        loop.after(pause, changed);
    }

    private void ended(int sentIn) {
        if (sentIn == membershipLease.term()) {
            committing = false;
        }
    }

    /** Takes an answer that rules out the commit; returns the keys whose guards failed. */
    private Set<String> refused(Sent sent, StateStoreClient.Outcome outcome) {
        ended(sent.term());
        if (outcome.is(409)) {
            Set<String> failed = outcome.failedConditions();
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
        if (failed.contains(membershipLease.key()) && sent.lease() == membershipLease.lease()) {
            membershipLease.join();
            return;
        }
        if (refusals.repeated(failed, sent.marks(), revision, sent.knownTo())) {
            LOG.error("refused again for {}, which the watch should have brought; reading anew", failed);
            refusals.clear();
            watchStream.readAll();
        } else {
            await(revision);
        }
    }

    private void await(long revision) {
        if (!watchStream.await(revision)) {
            pauseFor(REFUSED_RETRY);
        }
    }

    /** Makes sure that earlier commits of this controller can no longer be carried out. */
    private void ruleOut(Runnable then) {
        long lease = membershipLease.lease();
        int sentIn = membershipLease.term();
        store.commit(
                Set.of(membershipLease.key()),
                clusterState::version,
                Map.of(membershipLease.key(), membershipLease.self()),
                lease,
                outcome -> {
                    if (outcome.is(200)) {
                        membershipLease.rewritten(outcome.revision());
                        ended(sentIn);
                        await(outcome.revision());
                        then.run();
                    } else if (outcome.is(409)
                            || outcome.kind() == HttpResponse.Outcome.ANSWERED && outcome.status() == 400) {
                        // Either the membership has ended, or an earlier try of this very write was carried out. An
                        // answer
                        // that comes after this controller has joined anew says nothing about its present membership.
                        then.run();
                        if (lease == membershipLease.lease()) {
                            membershipLease.join();
                        }
                    } else {
                        loop.after(StateStoreClient.RETRY, () -> ruleOutAgain(lease, sentIn, then));
                    }
                });
    }

    private void ruleOutAgain(long lease, int sentIn, Runnable then) {
        if (membershipLease.isCurrent(lease)) {
            ruleOut(then);
        } else {
            ended(sentIn);
            then.run();
        }
    }
}
