package org.gullway.storage;

import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.transport.EventLoop;

/**
 * Ensures that a transaction whose outcome is unknown can no longer be applied. The version of this controller's member
 * key is a condition of every transaction, so rewriting the member key makes all transactions sent before fail.
 */
final class TransactionFence {
    /** Why the fenced transactions can no longer be applied, or why their outcome no longer matters. */
    enum Result {
        /** The member key was rewritten and has a new version. */
        MEMBER_KEY_REWRITTEN,
        /**
         * The membership has ended, or the version of the member key differs from that in the cluster state. This
         * controller joins again.
         */
        MEMBERSHIP_ENDED,
        /** This controller left the membership of the transactions before it could rewrite the member key. */
        MEMBERSHIP_REPLACED
    }

    /** Receives the result of fencing. */
    interface Callback {
        /**
         * Called exactly once, when the result is certain.
         *
         * @param term number of the membership whose transactions were fenced
         * @param revision revision at which the member key was rewritten; 0 if it was not
         */
        void onFenced(Result result, int term, long revision);
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

    /** Fences all transactions that were sent before this call during the current membership. */
    void fence(Callback callback) {
        long lease = membershipLease.lease();
        int term = membershipLease.term();
        String memberKey = membershipLease.memberKey();
        store.commit(
                Set.of(memberKey),
                clusterState::version,
                Map.of(memberKey, membershipLease.self()),
                lease,
                outcome -> onOutcome(outcome, lease, term, callback));
    }

    private void onOutcome(StateStoreClient.Outcome outcome, long lease, int term, Callback callback) {
        if (outcome.isOkWithBody()) {
            membershipLease.onMemberKeyWritten(outcome.revision());
            callback.onFenced(Result.MEMBER_KEY_REWRITTEN, term, outcome.revision());
        } else if (outcome.isConflict() || outcome.isBadRequest()) {
            // Either the membership has ended, or an earlier attempt at this write was applied without a response.
            callback.onFenced(Result.MEMBERSHIP_ENDED, term, 0);
            // A response that arrives after this controller has joined again does not concern its current membership.
            if (lease == membershipLease.lease()) {
                membershipLease.join();
            }
        } else {
            loop.after(StateStoreClient.RETRY_DELAY, () -> retry(lease, term, callback));
        }
    }

    private void retry(long lease, int term, Callback callback) {
        if (membershipLease.isCurrent(lease)) {
            fence(callback);
        } else {
            callback.onFenced(Result.MEMBERSHIP_REPLACED, term, 0);
        }
    }
}
