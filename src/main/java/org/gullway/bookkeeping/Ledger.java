package org.gullway.bookkeeping;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Membership;
import org.gullway.coordination.Transaction;
import org.gullway.transport.Budget;
import org.gullway.transport.EventLoop;

/**
 * Keeps the view up to date with the state store, keeps this controller a member, and commits drafts, one at a time.
 * All calls come from the thread of the event loop, on which the callbacks run too.
 *
 * <p>A commit without an answer may still be carried out, at any later time. It is ruled out by writing the own
 * member key anew: every commit is guarded by that key's mark. Only then does the next commit go out.
 */
public final class Ledger {
    /**
     * What became of a draft; one that was not committed never will be.
     *
     * @param failed guards that failed
     * @param revision of the state service at which it was committed
     */
    public record Result(boolean committed, Set<String> failed, long revision) {
        static final Result REFUSED = refused(Set.of());

        static Result committed(long revision) {
            return new Result(true, Set.of(), revision);
        }

        static Result refused(Set<String> failed) {
            return new Result(false, failed, 0);
        }
    }

    /** What the state service allows all controllers together, and how many they are. */
    public record Pace(double changesPerSecond, double requestsPerSecond, int controllers) {
        /** Part of the changes that each takes while the store refuses none. */
        static final double FREE_PART = 0.6;
        /** The leader books most of the work; the others share the rest. */
        private static final double LEADERS_PART = 0.55;

        private static final double OTHERS_PART = 0.4;
        // Parts of a controller's requests; what is left goes to the renewal of its membership.
        static final double WATCHES_PART = 0.38;
        static final double COMMITS_PART = 0.35;
        /** Verifications of what users who ask are told. */
        static final double VERIFICATIONS_PART = 0.075;
        /** Readings of single jobs for users who ask. */
        static final double QUESTION_READS_PART = 0.12;
        /** Readings of single jobs for submissions and cancellations, which never wait for those of questions. */
        static final double REQUEST_READS_PART = 0.06;

        double fairPart(boolean leading) {
            return leading ? LEADERS_PART : OTHERS_PART / Math.max(1, controllers - 1);
        }
    }

    private final StateStore store;
    private final ClusterView view;
    private final MemberRegistration member;
    private final StoreWatch watch;
    private final CommitQueue commits;
    private final ReadVerification verification;
    private final Budget questionReads;
    private final Budget requestReads;

    /**
     * @param pace what the state service allows
     * @param watchWait how long the state service holds back the answer to a watch while nothing changes
     * @param changed runs on the event loop whenever a new round of decisions may have something to do
     */
    public Ledger(
            EventLoop loop,
            StateStore store,
            ClusterView view,
            Membership membership,
            Pace pace,
            Duration watchWait,
            Runnable changed) {
        this.store = store;
        this.view = view;
        double requests = pace.requestsPerSecond() / pace.controllers();
        Budget watchRequests = new Budget(loop, requests, Pace.WATCHES_PART);
        Budget commitRequests = new Budget(loop, requests, Pace.COMMITS_PART);
        Budget verificationRequests = new Budget(loop, requests, Pace.VERIFICATIONS_PART);
        this.questionReads = new Budget(loop, requests, Pace.QUESTION_READS_PART);
        this.requestReads = new Budget(loop, requests, Pace.REQUEST_READS_PART);
        this.watch = new StoreWatch(loop, store, view, watchRequests, watchWait, changed);
        this.member = new MemberRegistration(loop, store, view, membership, this::membershipBegan, changed);
        this.commits = new CommitQueue(loop, store, view, member, watch, pace, commitRequests, changed);
        this.verification = new ReadVerification(store, view, verificationRequests);
    }

    private void membershipBegan() {
        commits.membershipBegan();
    }

    /** Begins to read the store, to join, and to renew the membership. To be called once, on the event loop. */
    public void start() {
        watch.readAll();
        member.start();
    }

    /** Whether the view is recent and this controller is entitled to act. */
    public boolean entitled() {
        // A view from before the joining may lack what others have claimed and placed meanwhile.
        return member.trusted() && watch.fresh() && view.watched() >= member.joinedAt();
    }

    /** Whether the view follows the store without a gap. */
    public boolean fresh() {
        return watch.fresh();
    }

    /**
     * The moment up to which all commits of all controllers are surely known here: when the last watch or reading that
     * was answered had been sent. An answer may be held back for long, and an open watch just waits in an outage.
     */
    public Instant knownUntil() {
        return watch.knownUntil();
    }

    /** Takes the part of the changes that a leader, or another controller, may use now. */
    public void share(boolean leading) {
        commits.share(leading);
    }

    /** How many changes a commit may hold now: what comes next should never wait long for the budget to recover. */
    public int changesLeft() {
        return commits.changesLeft();
    }

    /** Whether changes that could wait may be committed as well. */
    public boolean plenty() {
        return commits.plenty();
    }

    /** Whether a draft could be committed now. */
    public boolean ready() {
        return entitled() && commits.ready();
    }

    /**
     * Sends the draft. To be called only while {@link #ready()}, and on the event loop; the callback runs there too, once
     * the outcome is certain: after an unknown outcome that is when a later execution has been ruled out.
     */
    public void commit(Transaction draft, Consumer<Result> callback) {
        commits.commit(draft, callback);
    }

    /** Asks whether the view's marks of these keys are the newest; a key that is not in the view must not exist. */
    public void verify(Set<String> keys, Consumer<Verification> callback) {
        verification.verify(keys, callback);
    }

    /** How long questions should be gathered before the next verification. */
    public Duration verificationPause() {
        return verification.pause();
    }

    /** How long it takes until so many verifications may have been sent. */
    public Duration verificationWait(int count) {
        return verification.waitFor(count);
    }

    /** What readings of single jobs for users who ask may use. */
    public Budget questionReads() {
        return questionReads;
    }

    /** What readings of single jobs for submissions and cancellations may use. */
    public Budget requestReads() {
        return requestReads;
    }

    public StateStore store() {
        return store;
    }
}
