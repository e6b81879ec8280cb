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
 * Keeps the view up to date with the state store, keeps this controller a member, and commits drafts, one at a time.
 * All calls come from the thread of the event loop, on which the callbacks run too.
 *
 * <p>A commit without an answer may still be carried out, at any later time. It is ruled out by writing the own
 * member key anew: every commit is guarded by that key's mark. Only then does the next commit go out.
 */
public final class ReplicatedState {
    /**
     * What became of a draft; one that was not committed never will be.
     *
     * @param failed guards that failed
     * @param revision of the state service at which it was committed
     */
    public record CommitResult(boolean committed, Set<String> failedConditions, long revision) {
        static final CommitResult REFUSED = refused(Set.of());

        static CommitResult committed(long revision) {
            return new CommitResult(true, Set.of(), revision);
        }

        static CommitResult refused(Set<String> failed) {
            return new CommitResult(false, failed, 0);
        }
    }

    /** What the state service allows all controllers together, and how many they are. */
    public record StoreRateLimits(double changesPerSecond, double requestsPerSecond, int controllers) {
        /** Part of the changes that each takes while the store refuses none. */
        static final double UNCONTENDED_SHARE = 0.6;
        /** The leader books most of the work; the others share the rest. */
        private static final double LEADER_SHARE = 0.55;

        private static final double OTHERS_SHARE = 0.4;
        // Parts of a controller's requests; what is left goes to the renewal of its membership.
        static final double WATCH_SHARE = 0.38;
        static final double COMMIT_SHARE = 0.35;
        /** Verifications of what users who ask are told. */
        static final double CONFIRMATION_SHARE = 0.075;
        /** Readings of single jobs for users who ask. */
        static final double QUERY_READ_SHARE = 0.12;
        /** Readings of single jobs for submissions and cancellations, which never wait for those of questions. */
        static final double REQUEST_READ_SHARE = 0.06;

        double contendedShare(boolean leading) {
            return leading ? LEADER_SHARE : OTHERS_SHARE / Math.max(1, controllers - 1);
        }
    }

    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final MembershipLease membershipLease;
    private final WatchStream watchStream;
    private final TransactionCommitter committer;
    private final LinearizableReader verification;
    private final TokenBucket queryReadLimit;
    private final TokenBucket requestReadLimit;

    /**
     * @param pace what the state service allows
     * @param watchWait how long the state service holds back the answer to a watch while nothing changes
     * @param changed runs on the event loop whenever a new round of decisions may have something to do
     */
    public ReplicatedState(
            EventLoop loop,
            StateStoreClient store,
            ClusterState clusterState,
            Membership membership,
            StoreRateLimits rateLimits,
            Duration watchWait,
            Runnable changed) {
        this.store = store;
        this.clusterState = clusterState;
        double requests = rateLimits.requestsPerSecond() / rateLimits.controllers();
        TokenBucket watchRequests = new TokenBucket(loop, requests, StoreRateLimits.WATCH_SHARE);
        TokenBucket commitRequests = new TokenBucket(loop, requests, StoreRateLimits.COMMIT_SHARE);
        TokenBucket verificationRequests = new TokenBucket(loop, requests, StoreRateLimits.CONFIRMATION_SHARE);
        this.queryReadLimit = new TokenBucket(loop, requests, StoreRateLimits.QUERY_READ_SHARE);
        this.requestReadLimit = new TokenBucket(loop, requests, StoreRateLimits.REQUEST_READ_SHARE);
        this.watchStream = new WatchStream(loop, store, clusterState, watchRequests, watchWait, changed);
        this.membershipLease =
                new MembershipLease(loop, store, clusterState, membership, this::membershipBegan, changed);
        this.committer = new TransactionCommitter(
                loop, store, clusterState, membershipLease, watchStream, rateLimits, commitRequests, changed);
        this.verification = new LinearizableReader(store, clusterState, verificationRequests);
    }

    private void membershipBegan() {
        committer.membershipBegan();
    }

    /** Begins to read the store, to join, and to renew the membership. To be called once, on the event loop. */
    public void start() {
        watchStream.readAll();
        membershipLease.start();
    }

    /** Whether the view is recent and this controller is entitled to act. */
    public boolean holdsValidLease() {
        // A view from before the joining may lack what others have claimed and placed meanwhile.
        return membershipLease.trusted()
                && watchStream.fresh()
                && clusterState.watchedRevision() >= membershipLease.joinedAt();
    }

    /** Whether the view follows the store without a gap. */
    public boolean isFresh() {
        return watchStream.fresh();
    }

    /**
     * The moment up to which all commits of all controllers are surely known here: when the last watch or reading that
     * was answered had been sent. An answer may be held back for long, and an open watch just waits in an outage.
     */
    public Instant knownThrough() {
        return watchStream.knownUntil();
    }

    /** Takes the part of the changes that a leader, or another controller, may use now. */
    public void setWriteShare(boolean leading) {
        committer.share(leading);
    }

    /** How many changes a commit may hold now: what comes next should never wait long for the budget to recover. */
    public int availableChanges() {
        return committer.changesLeft();
    }

    /** Whether changes that could wait may be committed as well. */
    public boolean hasSurplusChanges() {
        return committer.plenty();
    }

    /** Whether a draft could be committed now. */
    public boolean canCommit() {
        return holdsValidLease() && committer.ready();
    }

    /**
     * Sends the draft. To be called only while {@link #ready()}, and on the event loop; the callback runs there too, once
     * the outcome is certain: after an unknown outcome that is when a later execution has been ruled out.
     */
    public void commit(Transaction transaction, Consumer<CommitResult> callback) {
        committer.commit(transaction, callback);
    }

    /** Asks whether the view's marks of these keys are the newest; a key that is not in the view must not exist. */
    public void confirmVersions(Set<String> keys, Consumer<LinearizableRead> callback) {
        verification.verify(keys, callback);
    }

    /** How long questions should be gathered before the next verification. */
    public Duration confirmationDelay() {
        return verification.pause();
    }

    /** How long it takes until so many verifications may have been sent. */
    public Duration timeUntilConfirmation(int count) {
        return verification.waitFor(count);
    }

    /** What readings of single jobs for users who ask may use. */
    public TokenBucket queryReadLimit() {
        return queryReadLimit;
    }

    /** What readings of single jobs for submissions and cancellations may use. */
    public TokenBucket requestReadLimit() {
        return requestReadLimit;
    }

    public StateStoreClient store() {
        return store;
    }
}
