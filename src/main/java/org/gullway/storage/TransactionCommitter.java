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
import org.gullway.protocol.Count;
import org.gullway.storage.ReplicatedState.CommitResult;
import org.gullway.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Commits transactions, one at a time. A transaction whose outcome is unknown is fenced by {@link TransactionFence}
 * before the next transaction is sent.
 */
final class TransactionCommitter {
    private static final Logger LOG = LoggerFactory.getLogger(TransactionCommitter.class);

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;
    private final WatchStream watchStream;
    private final CommitPacing pacing;
    private final Runnable requestCycle;
    private final TransactionFence fence;
    private final ConflictHistory conflictHistory = new ConflictHistory();
    private boolean inFlight;
    /** When the transaction in flight was sent; meaningless while none is in flight. */
    private Instant inFlightSince = Instant.MIN;

    /** A transaction in flight, with the membership and the key versions with which it was sent. */
    private record SentTransaction(
            Transaction transaction,
            Instant sentAt,
            Count leaseId,
            int membershipNumber,
            Count watchedRevision,
            Map<String, Count> expectedVersions) {}

    TransactionCommitter(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            MembershipLease membershipLease,
            WatchStream watchStream,
            CommitPacing pacing,
            Runnable requestCycle) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membershipLease = membershipLease;
        this.watchStream = watchStream;
        this.pacing = pacing;
        this.requestCycle = requestCycle;
        this.fence = new TransactionFence(loop, store, clusterState, membershipLease);
    }

    /**
     * Stops waiting for the transaction in flight. It was sent during an earlier membership: it either has been applied
     * already, or can no longer be applied because its condition on the version of the member key fails.
     */
    void onJoined() {
        inFlight = false;
    }

    /**
     * Returns true if a transaction may be sent now, provided that this controller holds a valid lease. May start a
     * full read, see {@link WatchStream#checkAwaitedRevision()}.
     */
    boolean isReady() {
        if (inFlight || !pacing.allowsCommit()) {
            return false;
        }
        // The cluster state must already contain the placements that an earlier incarnation of this controller, or an
        // earlier leader, has committed.
        return clusterState.watchedRevision().isAtLeast(membershipLease.memberKeyRevision())
                && clusterState.watchedRevision().isAtLeast(leaderRevision())
                && watchStream.checkAwaitedRevision();
    }

    /** Returns how long the transaction in flight has been waiting for its outcome; zero if none is in flight. */
    Duration inFlightTime() {
        return inFlight ? Duration.between(inFlightSince, loop.now()) : Duration.ZERO;
    }

    private Count leaderRevision() {
        return membershipLease.self().equals(clusterState.leader())
                ? clusterState.version(StoreKeys.LEADER)
                : Count.ZERO;
    }

    /** See {@link ReplicatedState#commit}. */
    void commit(Transaction transaction, Consumer<CommitResult> callback) {
        inFlight = true;
        inFlightSince = loop.now();
        pacing.onSent(transaction.changes().size());
        SentTransaction sent = toSentTransaction(transaction);
        store.commit(
                transaction.conditions(),
                sent.expectedVersions()::get,
                transaction.changes(),
                sent.leaseId(),
                outcome -> onOutcome(sent, outcome, callback));
    }

    private SentTransaction toSentTransaction(Transaction transaction) {
        Map<String, Count> expectedVersions = new HashMap<>();
        transaction.conditions().forEach(key -> expectedVersions.put(key, clusterState.version(key)));
        return new SentTransaction(
                transaction,
                loop.now(),
                membershipLease.leaseId(),
                membershipLease.membershipNumber(),
                clusterState.watchedRevision(),
                expectedVersions);
    }

    private void onOutcome(SentTransaction sent, StateStoreClient.Outcome outcome, Consumer<CommitResult> callback) {
        if (outcome.isOkWithBody()) {
            onCommitted(sent, outcome.revision(), callback);
        } else if (outcome.isUnknown()) {
            LOG.info(
                    "transaction outcome unknown; rewriting the member key to fence the transaction lease={}",
                    sent.leaseId());
            fence.fence((result, membershipNumber, revision) -> {
                onFenced(result, membershipNumber, revision);
                callback.accept(CommitResult.UNCONFIRMED);
            });
        } else if (!outcome.isEncodable()) {
            onOutcomeKnown(sent.membershipNumber());
            pacing.onRejected(false);
            callback.accept(CommitResult.NOT_ENCODABLE);
        } else {
            callback.accept(CommitResult.unconfirmed(handleNotApplied(sent, outcome)));
        }
    }

    private void onCommitted(SentTransaction sent, Count revision, Consumer<CommitResult> callback) {
        logCommitted(sent, revision);
        onOutcomeKnown(sent.membershipNumber());
        conflictHistory.clear();
        clusterState.apply(sent.transaction().changes(), revision);
        pacing.onCommitted();
        callback.accept(CommitResult.committed(revision));
        requestCycle.run();
    }

    private void logCommitted(SentTransaction sent, Count revision) {
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "transaction committed revision={} elapsed_ms={} watched_revision={} keys={}",
                    revision,
                    Duration.between(sent.sentAt(), loop.now()).toMillis(),
                    sent.watchedRevision(),
                    sent.transaction().changes().keySet());
        }
    }

    /** Allows the next transaction, unless the known outcome is that of a transaction of an earlier membership. */
    private void onOutcomeKnown(int membershipNumber) {
        if (membershipNumber == membershipLease.membershipNumber()) {
            inFlight = false;
        }
    }

    private void onFenced(TransactionFence.Result result, int membershipNumber, Count revision) {
        switch (result) {
            case MEMBER_KEY_REWRITTEN -> {
                onOutcomeKnown(membershipNumber);
                delayNextTransaction(revision);
            }
            case MEMBERSHIP_ENDED -> {
                // onJoined() clears the transaction in flight once this controller has joined again.
            }
            case LEASE_NOT_CURRENT -> onOutcomeKnown(membershipNumber);
        }
    }

    /** Handles an outcome which shows that the transaction was not applied. Returns the keys of failed conditions. */
    private Set<String> handleNotApplied(SentTransaction sent, StateStoreClient.Outcome outcome) {
        onOutcomeKnown(sent.membershipNumber());
        if (outcome.isConflict()) {
            Set<String> failed = outcome.failedConditions();
            onConflict(sent, failed, outcome.revision());
            return failed;
        }
        pacing.onRejected(outcome.isRateLimited());
        if (outcome.isBadRequest()) {
            LOG.info(
                    "transaction rejected: expired lease or malformed request lease={} response={}",
                    sent.leaseId(),
                    outcome.body());
        }
        return Set.of();
    }

    private void onConflict(SentTransaction sent, Set<String> failed, Count revision) {
        LOG.debug(
                "transaction conditions failed revision={} watched_revision={} failed={}",
                revision,
                sent.watchedRevision(),
                failed);
        if (failed.contains(membershipLease.memberKey()) && sent.leaseId().equals(membershipLease.leaseId())) {
            membershipLease.join();
            return;
        }
        if (conflictHistory.record(failed, sent.expectedVersions(), revision, sent.watchedRevision())) {
            LOG.error(
                    "the cluster state has wrong versions of keys whose conditions failed twice; starting a full read"
                            + " revision={} watched_revision={} failed={}",
                    revision,
                    sent.watchedRevision(),
                    failed);
            conflictHistory.clear();
            watchStream.readAll();
        } else {
            delayNextTransaction(revision);
        }
    }

    /**
     * Delays the next transaction until the watch has reached the revision or, if it already has, for a short pause.
     */
    private void delayNextTransaction(Count revision) {
        if (!watchStream.awaitRevision(revision)) {
            pacing.onConflict();
        }
    }
}
