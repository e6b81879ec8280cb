package org.gullway.storage;

import java.util.Map;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.transport.EventLoop;

/**
 * Makes sure that a transaction whose outcome is unknown can no longer be applied. Every transaction has the version of
 * the own member key as a condition; writing that key again makes the conditions of all earlier ones fail.
 */
final class TransactionFence {
    /** Why earlier transactions can no longer be applied, or no longer matter. */
    enum Result {
        /** The member key has a new version. */
        MEMBER_KEY_REWRITTEN,
        /** The membership has ended, or the member key has a version that is unknown here: this controller joins again. */
        MEMBERSHIP_ENDED,
        /** This controller has left that membership while the member key could not be written. */
        MEMBERSHIP_REPLACED
    }

    /** Runs once, when the result is certain. */
    interface Callback {
        /**
         * The result is certain.
         *
         * @param term of the membership whose transactions were fenced
         * @param revision at which the member key was rewritten, or 0
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

    /** Fences all transactions of the present membership that were sent before. */
    void fence(Callback callback) {
        long lease = membershipLease.lease();
        int term = membershipLease.term();
        String memberKey = membershipLease.memberKey();
        store.commit(
                Set.of(memberKey),
                clusterState::version,
                Map.of(memberKey, membershipLease.self()),
                lease,
                outcome -> onAnswered(outcome, lease, term, callback));
    }

    private void onAnswered(StateStoreClient.Outcome outcome, long lease, int term, Callback callback) {
        if (outcome.isOkWithBody()) {
            membershipLease.onMemberKeyWritten(outcome.revision());
            callback.onFenced(Result.MEMBER_KEY_REWRITTEN, term, outcome.revision());
        } else if (outcome.isConflict() || outcome.isBadRequest()) {
            // Either the membership has ended, or an earlier attempt of this very write was applied.
            callback.onFenced(Result.MEMBERSHIP_ENDED, term, 0);
            // A response that comes after this controller has joined again says nothing about its present membership.
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
