package org.gullway.storage;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Transaction;
import org.gullway.transport.EventLoop;
import org.gullway.transport.TokenBucket;

/**
 * Keeps the cluster state up to date with the state store, keeps this controller a member, and commits transactions,
 * one at a time. All calls come from the thread of the event loop, on which the callbacks run too.
 *
 * <p>A transaction without a response may still be applied, at any later time. It is fenced by writing the own member
 * key again: the version of that key is a condition of every transaction. Only then is the next one sent.
 */
public final class ReplicatedState {
    /**
     * Outcome of a transaction; one that was not committed never will be.
     *
     * @param failedConditions keys whose conditions failed
     * @param revision of the state store at which it was committed
     */
    public record CommitResult(boolean committed, Set<String> failedConditions, long revision) {
        static final CommitResult REFUSED = refused(Set.of());

        static CommitResult committed(long revision) {
            return new CommitResult(true, Set.of(), revision);
        }

        static CommitResult refused(Set<String> failedConditions) {
            return new CommitResult(false, failedConditions, 0);
        }
    }

    /** What the state store allows all controllers together, and how many they are. */
    public record StoreRateLimits(double changesPerSecond, double requestsPerSecond, int controllers) {
        /** Fraction of the changes that each controller takes while the store refuses none. */
        static final double UNCONTENDED_SHARE = 0.6;
        /** The leader writes most of the changes; the others divide the rest. */
        private static final double LEADER_SHARE = 0.55;

        private static final double OTHERS_SHARE = 0.4;
        // Fractions of a controller's requests; the rest is for the renewal of its membership lease.
        static final double WATCH_SHARE = 0.38;
        static final double COMMIT_SHARE = 0.35;
        /** Confirmations of the versions that responses to users are based on. */
        static final double CONFIRMATION_SHARE = 0.075;
        /** Reads of single jobs for status queries. */
        static final double QUERY_READ_SHARE = 0.12;
        /** Reads of single jobs for submissions and cancellations, which never wait for those of status queries. */
        static final double REQUEST_READ_SHARE = 0.06;

        double contendedShare(boolean leading) {
            return leading ? LEADER_SHARE : OTHERS_SHARE / Math.max(1, controllers - 1);
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
    private final LinearizableReader linearizableReader;
    private final TokenBucket queryReadLimit;
    private final TokenBucket requestReadLimit;

    /**
     * @param rateLimits what the state store allows
     * @param watchWait how long the state store holds back the response to a watch while nothing changes
     * @param onStateChanged runs on the event loop whenever a new scheduling cycle may have something to do
     */
    public ReplicatedState(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            Membership membership,
            StoreRateLimits rateLimits,
            Duration watchWait,
            Runnable onStateChanged) {
        this.store = store;
        this.clusterState = clusterState;
        this.queryReadLimit = rateLimits.requestLimit(loop, StoreRateLimits.QUERY_READ_SHARE);
        this.requestReadLimit = rateLimits.requestLimit(loop, StoreRateLimits.REQUEST_READ_SHARE);
        this.watchStream = new WatchStream(
                loop,
                store,
                clusterState,
                rateLimits.requestLimit(loop, StoreRateLimits.WATCH_SHARE),
                watchWait,
                onStateChanged);
        this.membershipLease =
                new MembershipLease(loop, store, clusterState, membership, this::onJoined, onStateChanged);
        this.commitPacing = new CommitPacing(
                loop, rateLimits, rateLimits.requestLimit(loop, StoreRateLimits.COMMIT_SHARE), onStateChanged);
        this.committer = new TransactionCommitter(
                loop, store, clusterState, membershipLease, watchStream, commitPacing, onStateChanged);
        this.linearizableReader = new LinearizableReader(
                store, clusterState, rateLimits.requestLimit(loop, StoreRateLimits.CONFIRMATION_SHARE));
    }

    private void onJoined() {
        committer.onJoined();
    }

    /** Begins to read the store, to join, and to renew the membership. To be called once, on the event loop. */
    public void start() {
        watchStream.readAll();
        membershipLease.start();
    }

    /** Whether this controller may act: its lease has not expired, and the cluster state is fresh. */
    public boolean holdsValidLease() {
        // A cluster state from before the joining may lack what other controllers have placed until then.
        return membershipLease.isValid()
                && watchStream.isFresh()
                && clusterState.watchedRevision() >= membershipLease.joinedRevision();
    }

    /** Whether the cluster state follows the store without a gap. */
    public boolean isFresh() {
        return watchStream.isFresh();
    }

    /**
     * The moment up to which all transactions of all controllers are surely known here: when the last watch or read
     * that was answered had been sent. A response may be held back for long, and an open watch just waits in an outage.
     */
    public Instant knownThrough() {
        return watchStream.knownThrough();
    }

    /** Takes the share of the changes that a leader, or another controller, may use now. */
    public void setWriteShare(boolean leading) {
        commitPacing.setWriteShare(leading);
    }

    /** How many changes a transaction may hold now, so that the next one need not wait long for the rate limit. */
    public int availableChanges() {
        return commitPacing.availableChanges();
    }

    /** Whether changes that could wait may be committed as well. */
    public boolean hasSurplusChanges() {
        return commitPacing.hasSurplusChanges();
    }

    /** Whether a transaction could be committed now. */
    public boolean canCommit() {
        return holdsValidLease() && committer.isReady();
    }

    /**
     * Sends the transaction. To be called only while {@link #canCommit()}, and on the event loop; the callback runs
     * there too, once the outcome is certain: if it was unknown, after the transaction has been fenced.
     */
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        committer.commit(transaction, callback);
    }

    /** Asks whether these versions are the newest; a key that is not in the cluster state must not exist. */
    public void confirmVersions(Set<String> keys, Consumer<LinearizableRead> callback) {
        linearizableReader.confirmVersions(keys, callback);
    }

    /** How long queries should be batched before the next confirmation. */
    public Duration confirmationDelay() {
        return linearizableReader.batchingDelay();
    }

    /** How long it takes until so many confirmations may have been sent. */
    public Duration timeUntilConfirmation(int count) {
        return linearizableReader.timeUntilAvailable(count);
    }

    /** Limit of the reads of single jobs for status queries. */
    public TokenBucket queryReadLimit() {
        return queryReadLimit;
    }

    /** Limit of the reads of single jobs for submissions and cancellations. */
    public TokenBucket requestReadLimit() {
        return requestReadLimit;
    }

    /** The client, for reads of single keys. */
    public StateStoreClient store() {
        return store;
    }
}
