package org.gullway.storage;

import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.protocol.Count;
import org.gullway.transport.EventLoop;

/**
 * Ensures that a transaction whose outcome is unknown can no longer be applied. The version of this controller's member
 * key is a condition of every transaction, so rewriting the member key makes all earlier transactions fail.
 */
final class TransactionFence {
    /** How the fencing ended. */
    enum Result {
        /** The member key was rewritten. The fenced transactions can no longer be applied. */
        MEMBER_KEY_REWRITTEN,
        /**
         * The store rejected the rewrite: the membership has ended, or the version of the member key differs from that
         * in the cluster state. Either way the fenced transactions can no longer be applied. This controller joins
         * again.
         */
        MEMBERSHIP_ENDED,
        /**
         * The membership ended before the member key could be rewritten; this controller joins again or has already
         * done so. A membership ends only once its lease has ended in the store, which removes the member key, or the
         * version of the member key has changed. Either way the fenced transactions can no longer be applied.
         */
        LEASE_NOT_CURRENT
    }

    /** Receives the result of fencing. */
    interface Callback {
        /**
         * Called once, when the result is certain. The rewrite is retried until the state store answers or the lease is
         * no longer current.
         *
         * @param membershipNumber number of the membership whose transactions were fenced
         * @param revision revision at which the member key was rewritten; zero if it was not
         */
        void onFenced(Result result, int membershipNumber, Count revision);
    }

    private final EventLoop loop;
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;

    TransactionFence(
            EventLoop loop, StateStoreClient store, ClusterState clusterState, MembershipLease membershipLease) {
        this.loop = loop;
        this.store = store;
        this.clusterState = clusterState;
        this.membershipLease = membershipLease;
    }

    /** Fences all transactions that this controller sent earlier in its current membership. */
    void fence(Callback callback) {
        Count leaseId = membershipLease.leaseId();
        int membershipNumber = membershipLease.membershipNumber();
        String memberKey = membershipLease.memberKey();
        store.commit(
                Set.of(memberKey),
                clusterState::version,
                Map.of(memberKey, membershipLease.self()),
                leaseId,
                outcome -> onOutcome(outcome, leaseId, membershipNumber, callback));
    }

    private void onOutcome(StateStoreClient.Outcome outcome, Count leaseId, int membershipNumber, Callback callback) {
        if (outcome.isOkWithBody()) {
            membershipLease.onMemberKeyWritten(outcome.revision());
            callback.onFenced(Result.MEMBER_KEY_REWRITTEN, membershipNumber, outcome.revision());
        } else if (outcome.isConflict() || outcome.isBadRequest()) {
            // Either the membership has ended, or an earlier attempt at this write was applied without a response.
            callback.onFenced(Result.MEMBERSHIP_ENDED, membershipNumber, Count.ZERO);
            // A response that arrives after this controller has joined again does not concern its current membership.
            if (leaseId.equals(membershipLease.leaseId())) {
                membershipLease.join();
            }
        } else {
            loop.after(StateStoreClient.RETRY_DELAY, () -> retry(leaseId, membershipNumber, callback));
        }
    }

    private void retry(Count leaseId, int membershipNumber, Callback callback) {
        if (membershipLease.isCurrentLease(leaseId)) {
            fence(callback);
        } else {
            callback.onFenced(Result.LEASE_NOT_CURRENT, membershipNumber, Count.ZERO);
        }
    }
}
