package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;

/**
 * Keeps the cluster state up to date with the state store, maintains this controller's membership, and commits
 * transactions, one at a time. All methods must be called on the event loop, on which the callbacks run too.
 *
 * <p>A transaction whose response is missing may still be applied at any later time. Before the next transaction is
 * sent, this controller therefore fences it by rewriting its own member key: the version of the member key is a
 * condition of every transaction.
 */
public final class ReplicatedState {
    /**
     * Outcome of a transaction.
     *
     * @param failedConditions keys whose conditions failed
     * @param revision revision of the state store at which the transaction was committed; 0 if it was not
     */
    public record CommitResult(Status status, Set<String> failedConditions, Count revision) {
        /** Whether the transaction was committed, and if not, why. */
        public enum Status {
            /** The store confirmed the commit. */
            COMMITTED,
            /**
             * The transaction cannot be applied any more, but a transaction that had to be fenced may have been applied
             * before.
             */
            UNCONFIRMED,
            /** The transaction could not be encoded and was not sent. The same changes would fail again. */
            NOT_ENCODABLE
        }

        static final CommitResult UNCONFIRMED = unconfirmed(Set.of());
        static final CommitResult NOT_ENCODABLE = new CommitResult(Status.NOT_ENCODABLE, Set.of(), Count.ZERO);

        static CommitResult committed(Count revision) {
            return new CommitResult(Status.COMMITTED, Set.of(), revision);
        }

        static CommitResult unconfirmed(Set<String> failedConditions) {
            return new CommitResult(Status.UNCONFIRMED, failedConditions, Count.ZERO);
        }

        public boolean isCommitted() {
            return status == Status.COMMITTED;
        }
    }

    /** Rate limits of the state store for all controllers together, and the number of controllers. */
    public record StoreRateLimits(double changesPerSecond, double requestsPerSecond, int controllers) {
        /**
         * Fraction of the change rate that each controller may use while the store is not contended, which means that
         * the store has not recently rejected a transaction because of the rate limit. The fractions of all controllers
         * may add up to more than 1; the store rejects what exceeds the limit.
         */
        static final double UNCONTENDED_SHARE = 0.6;
        /**
         * Fraction of the changes that the leader may use while the store is contended; the leader writes most of them.
         * The other controllers divide {@link #CONTENDED_NON_LEADERS_SHARE} equally.
         */
        private static final double CONTENDED_LEADER_SHARE = 0.55;

        private static final double CONTENDED_NON_LEADERS_SHARE = 0.4;
        // Fractions of one controller's part of the request rate. The rest is for the renewal of its membership lease,
        // which is not rate limited here, and neither are joins, full reads and fencing.
        static final double WATCH_SHARE = 0.38;
        static final double COMMIT_SHARE = 0.35;
        /** Version checks of the records on which responses to users are based. */
        static final double VERSION_CHECK_SHARE = 0.075;
        /** Reads of single jobs for status queries. */
        static final double QUERY_READ_SHARE = 0.12;
        /** Reads of single jobs for submissions and cancellations, which never wait for reads for status queries. */
        static final double MUTATION_READ_SHARE = 0.06;

        double contendedShare(boolean leading) {
            return leading ? CONTENDED_LEADER_SHARE : CONTENDED_NON_LEADERS_SHARE / Math.max(1, controllers - 1);
        }

        private TokenBucket requestLimit(EventLoop loop, double share) {
            return new TokenBucket(loop, requestsPerSecond / controllers, share);
        }
    }

    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;
    private final WatchStream watchStream;
    private final CommitPacing commitPacing;
    private final TransactionCommitter committer;
    private final VersionChecker versionChecker;
    private final TokenBucket queryReadLimit;
    private final TokenBucket mutationReadLimit;

    /**
     * @param rateLimits rate limits of the state store
     * @param watchWait how long the state store may delay its response to a watch while there are no changes
     * @param requestCycle runs on the event loop whenever a new scheduling cycle may find work: the cluster
     *     state has changed, a valid lease may have been gained, or a pause between transactions has ended
     */
    public ReplicatedState(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            Membership membership,
            StoreRateLimits rateLimits,
            Duration watchWait,
            Runnable requestCycle) {
        this.store = store;
        this.clusterState = clusterState;
        this.queryReadLimit = rateLimits.requestLimit(loop, StoreRateLimits.QUERY_READ_SHARE);
        this.mutationReadLimit = rateLimits.requestLimit(loop, StoreRateLimits.MUTATION_READ_SHARE);
        this.watchStream = new WatchStream(
                loop,
                store,
                clusterState,
                rateLimits.requestLimit(loop, StoreRateLimits.WATCH_SHARE),
                watchWait,
                requestCycle);
        this.membershipLease = new MembershipLease(loop, store, clusterState, membership, this::onJoined, requestCycle);
        this.commitPacing = new CommitPacing(
                loop, rateLimits, rateLimits.requestLimit(loop, StoreRateLimits.COMMIT_SHARE), requestCycle);
        this.committer = new TransactionCommitter(
                loop, store, clusterState, membershipLease, watchStream, commitPacing, requestCycle);
        this.versionChecker = new VersionChecker(
                store, clusterState, rateLimits.requestLimit(loop, StoreRateLimits.VERSION_CHECK_SHARE));
    }

    private void onJoined() {
        committer.onJoined();
    }

    /**
     * Starts to read the state store, to join the cluster and to renew the membership lease. Must be called once, on
     * the event loop.
     */
    public void start() {
        watchStream.readAll();
        membershipLease.start();
    }

    /**
     * Returns true if this controller may schedule and command agents. This requires that the membership lease has not
     * expired, that the cluster state is fresh, and that it contains all changes up to the revision at which this
     * controller joined.
     */
    public boolean holdsValidLease() {
        // A cluster state from before the join may lack placements that other controllers committed until then.
        return membershipLease.isValid()
                && watchStream.isFresh()
                && clusterState.watchedRevision().isAtLeast(membershipLease.joinedRevision());
    }

    /** Returns true if a full read is complete and the latest answer to it or to a watch is less than 10 s old. */
    public boolean isFresh() {
        return watchStream.isFresh();
    }

    /**
     * Returns the send time of the latest answered watch or full read. The cluster state contains every transaction
     * that any controller committed before this time. The time of the response would be too late, because the store may
     * hold a response back. An unanswered watch does not count, because a watch also stays open during an outage.
     */
    public Instant knownThrough() {
        return watchStream.knownThrough();
    }

    /**
     * Updates this controller's share of the change rate. The share depends on whether this controller is the leader
     * and whether the store is contended at the time of the call, so this method must be called in every scheduling
     * cycle.
     */
    public void updateChangeShare(boolean leading) {
        commitPacing.updateChangeShare(leading);
    }

    /**
     * Returns the number of changes that the rate limit currently allows. A larger transaction would be possible, but
     * the next transaction would have to wait longer.
     */
    public int availableChanges() {
        return commitPacing.availableChanges();
    }

    /**
     * Returns true if at least half of the changes of one second are unused, so that less urgent changes may be sent.
     */
    public boolean hasSpareWriteCapacity() {
        return commitPacing.hasSpareWriteCapacity();
    }

    /** Returns true if a transaction may be committed now. May start a full read if the watch is late. */
    public boolean canCommit() {
        return holdsValidLease() && committer.isReady();
    }

    /** Returns how long the transaction in flight has been waiting for its outcome; zero if none is in flight. */
    public Duration commitInFlightTime() {
        return committer.inFlightTime();
    }

    /**
     * Sends the transaction. Must be called on the event loop, and only if {@link #canCommit()} returns true. The
     * callback runs on the event loop once the outcome is known; if the outcome is unknown, the callback runs after the
     * transaction has been fenced. If the transaction cannot be encoded, the callback runs within this method.
     */
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        committer.commit(transaction, callback);
    }

    /**
     * Compares the versions of the keys in the cluster state with those in the state store. A key that is missing from
     * the cluster state is current only if it does not exist in the store.
     */
    public void checkVersions(Set<String> keys, Consumer<VersionCheckResult> callback) {
        versionChecker.checkVersions(keys, callback);
    }

    /** Returns how long status queries should be collected before the next version check is sent. */
    public Duration versionCheckDelay() {
        return versionChecker.batchingDelay();
    }

    /** Returns the time until the rate limit allows this number of version checks. */
    public Duration timeUntilVersionChecks(int count) {
        return versionChecker.timeUntilAvailable(count);
    }

    /** Returns the rate limit for reads of single jobs for status queries. */
    public TokenBucket queryReadLimit() {
        return queryReadLimit;
    }

    /** Returns the rate limit for reads of single jobs for submissions and cancellations. */
    public TokenBucket mutationReadLimit() {
        return mutationReadLimit;
    }

    /** Returns the client of the state store, for reads of single keys. */
    public StateStoreClient store() {
        return store;
    }
}
