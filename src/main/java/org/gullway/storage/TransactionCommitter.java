package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.Transaction;
import org.gullway.storage.ReplicatedState.CommitResult;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits transactions, one at a time. One whose outcome is unknown is fenced by {@link TransactionFence} before the
 * next one is sent.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;
    private final WatchStream watchStream;
    private final CommitPacing pacing;
    private final Runnable onStateChanged;
    private final TransactionFence fence;
    private final ConflictHistory conflicts = new ConflictHistory();
    private boolean inFlight;

    /** A transaction in flight, with the membership and the cluster state under which it was sent. */
    private record SentTransaction(
            Transaction transaction,
            Instant sentAt,
            long lease,
            int term,
            long watchedRevision,
            Map<String, Long> expectedVersions) {}

    TransactionCommitter(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            MembershipLease membershipLease,
            WatchStream watchStream,
            CommitPacing pacing,
            Runnable onStateChanged) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membershipLease = membershipLease;
        this.watchStream = watchStream;
        this.pacing = pacing;
        this.onStateChanged = onStateChanged;
        this.fence = new TransactionFence(loop, store, clusterState, membershipLease);
    }

    /** Forgets the transaction in flight: its condition on the member key of a former membership fails. */
    void onJoined() {
        inFlight = false;
    }

    /** Whether a transaction could be committed now, provided that this controller holds a valid lease. */
    boolean isReady() {
        if (inFlight || !pacing.allowsCommit()) {
            return false;
        }
        // What a former incarnation of this controller, or a former leader, has placed must be known first.
        return clusterState.watchedRevision() >= Math.max(membershipLease.memberKeyRevision(), leaderRevision())
                && watchStream.hasReachedAwaited();
    }

    private long leaderRevision() {
        return membershipLease.self().equals(clusterState.leader()) ? clusterState.version(StoreKeys.LEADER) : 0;
    }

    /** See {@link ReplicatedState#commit}. */
    void commit(Transaction transaction, Consumer<CommitResult> callback) {
        inFlight = true;
        pacing.onSent(transaction.changes().size());
        SentTransaction sent = describe(transaction);
        store.commit(
                transaction.conditions(),
                sent.expectedVersions()::get,
                transaction.changes(),
                sent.lease(),
                outcome -> onAnswered(sent, outcome, callback));
    }

    private SentTransaction describe(Transaction transaction) {
        Map<String, Long> expectedVersions = new HashMap<>();
        transaction.conditions().forEach(key -> expectedVersions.put(key, clusterState.version(key)));
        return new SentTransaction(
                transaction,
                loop.now(),
                membershipLease.lease(),
                membershipLease.term(),
                clusterState.watchedRevision(),
                expectedVersions);
    }

    private void onAnswered(SentTransaction sent, StateStoreClient.Outcome outcome, Consumer<CommitResult> callback) {
        if (outcome.isOkWithBody()) {
            onApplied(sent, outcome.revision(), callback);
        } else if (outcome.isUnknown()) {
            LOG.info("the outcome of a transaction is unknown; rewriting the member key lease={}", sent.lease());
            fence.fence((result, term, revision) -> {
                onFenced(result, term, revision);
                callback.accept(CommitResult.REFUSED);
            });
        } else {
            callback.accept(CommitResult.refused(onRefused(sent, outcome)));
        }
    }

    private void onApplied(SentTransaction sent, long revision, Consumer<CommitResult> callback) {
        logApplied(sent, revision);
        onOutcomeKnown(sent.term());
        conflicts.clear();
        clusterState.apply(sent.transaction().changes(), revision);
        pacing.onApplied();
        callback.accept(CommitResult.committed(revision));
        onStateChanged.run();
    }

    private void logApplied(SentTransaction sent, long revision) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "committed a transaction revision={} elapsed_ms={} watched_revision={} keys={}",
                    revision,
                    Duration.between(sent.sentAt(), loop.now()).toMillis(),
                    sent.watchedRevision(),
                    sent.transaction().changes().keySet());
        }
    }

    /** The next transaction may be sent, unless this outcome is one of an earlier membership. */
    private void onOutcomeKnown(int term) {
        if (term == membershipLease.term()) {
            inFlight = false;
        }
    }

    private void onFenced(TransactionFence.Result result, int term, long revision) {
        switch (result) {
            case MEMBER_KEY_REWRITTEN -> {
                onOutcomeKnown(term);
                awaitWatch(revision);
            }
            case MEMBERSHIP_ENDED -> {
                // Joining again forgets the transaction.
            }
            case MEMBERSHIP_REPLACED -> onOutcomeKnown(term);
        }
    }

    /** Handles a response after which the transaction is certainly not applied; returns the failed conditions. */
    private Set<String> onRefused(SentTransaction sent, StateStoreClient.Outcome outcome) {
        onOutcomeKnown(sent.term());
        if (outcome.isConflict()) {
            Set<String> failed = outcome.failedConditions();
            onConflict(sent, failed, outcome.revision());
            return failed;
        }
        pacing.onRefused(outcome.isRateLimited());
        if (outcome.isBadRequest()) {
            LOG.info("a transaction was refused as malformed or on an expired lease response={}", outcome.body());
        }
        return Set.of();
    }

    private void onConflict(SentTransaction sent, Set<String> failed, long revision) {
        LOG.debug(
                "conditions of a transaction failed revision={} watched_revision={} failed={}",
                revision,
                sent.watchedRevision(),
                failed);
        if (failed.contains(membershipLease.memberKey()) && sent.lease() == membershipLease.lease()) {
            membershipLease.join();
            return;
        }
        if (conflicts.record(failed, sent.expectedVersions(), revision, sent.watchedRevision())) {
            LOG.error(
                    "conditions failed again although the watch has passed the conflict; reading all keys failed={}",
                    failed);
            conflicts.clear();
            watchStream.readAll();
        } else {
            awaitWatch(revision);
        }
    }

    private void awaitWatch(long revision) {
        if (!watchStream.await(revision)) {
            pacing.onConflict();
        }
    }
}
