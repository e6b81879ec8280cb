package org.gullway.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Draft;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.Keys;
import org.gullway.coordination.Membership;
import org.gullway.protocol.MalformedException;
import org.gullway.transport.Budget;
import org.gullway.transport.EventLoop;
import org.gullway.transport.Reply;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the view up to date with the state store, keeps this controller a member, and commits drafts, one at a time.
 *
 * <p>A commit without an answer may still be carried out, at any later time. It is ruled out by writing the own
 * member key anew: every commit is guarded by that key's mark. Only then does the next commit go out.
 */
public final class Ledger {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);
    /** How old the view may be for this controller to act on it. */
    private static final Duration FRESH = Duration.ofSeconds(10);

    private static final Duration LONGEST_AWAITED = Duration.ofSeconds(5);
    private static final Duration RETRY = Duration.ofMillis(250);
    private static final Duration BUSY_MEMORY = Duration.ofSeconds(10);
    private static final Duration BUSY_RETRY = Duration.ofMillis(120);

    /** What became of a draft; one that was not committed never will be, and {@code failed} names guards that failed. */
    public record Result(boolean committed, Set<String> failed) {
        private static final Result REFUSED = new Result(false, Set.of());
    }

    /** What the state service allows all controllers together, and how many they are. */
    public record Pace(double changesPerSecond, double requestsPerSecond, int controllers) {
        /** Part of the changes that each takes while the store refuses none. */
        private static final double FREE_PART = 0.6;
        /** The leader books most of the work; the others share the rest. */
        private static final double LEADERS_PART = 0.55;

        private static final double OTHERS_PART = 0.4;
        private static final double WATCHES_PART = 0.45;
        private static final double COMMITS_PART = 0.35;
        private static final double QUESTIONS_PART = 0.15;

        double fairPart(boolean leading) {
            return leading ? LEADERS_PART : OTHERS_PART / Math.max(1, controllers - 1);
        }
    }

    private enum Phase {
        OUTSIDE,
        JOINING,
        MEMBER
    }

    private final EventLoop loop;
    private final StateStore store;
    private final ClusterView view;
    private final Membership membership;
    private final Runnable changed;
    private final Pace pace;
    private final Budget changes;
    private final Budget watches;
    private final Budget commits;
    private final Budget questions;
    /** Until then the store counts as busy, and this controller keeps to its fair part of the changes. */
    private Instant busyUntil = Instant.MIN;

    private Phase phase = Phase.OUTSIDE;
    private boolean synced;
    private Instant lastWatched = Instant.MIN;
    /** When the last reading or watch that was answered had been sent. */
    private Instant knownUntil = Instant.MIN;

    private final Duration watchWait;
    private boolean committing;
    private Instant commitNotBefore = Instant.MIN;
    /** Revision that the watch has to reach before the view is good enough for another commit. */
    private long awaited;

    private Instant awaitedSince;
    private final Map<String, Refusal> refusals = new HashMap<>();
    /** Revision at which the own member key was written; a reading that is older shows a former one. */
    private long memberSince;
    /** The same for the beginning of the present membership. */
    private long joinedAt;
    /** Counts memberships: an answer to a commit of an earlier one says nothing of what is on its way now. */
    private int term;

    private long watchRun;
    private int renewals;

    public Ledger(
            EventLoop loop,
            StateStore store,
            ClusterView view,
            Membership membership,
            Pace pace,
            Duration watchWait,
            Runnable changed) {
        this.loop = loop;
        this.store = store;
        this.view = view;
        this.membership = membership;
        this.changed = changed;
        this.pace = pace;
        this.watchWait = watchWait;
        this.changes = new Budget(loop, pace.changesPerSecond());
        double requests = pace.requestsPerSecond() / pace.controllers();
        this.watches = new Budget(loop, requests, Pace.WATCHES_PART);
        this.commits = new Budget(loop, requests, Pace.COMMITS_PART);
        this.questions = new Budget(loop, requests, Pace.QUESTIONS_PART);
    }

    static boolean isTethered(String key) {
        return key.startsWith(Keys.MEMBERS) || key.equals(Keys.LEADER);
    }

    public void start() {
        readAll();
        join();
        loop.every(membership.life().dividedBy(5), this::renew);
    }

    /** Whether the view is recent and this controller is entitled to act. */
    public boolean entitled() {
        // A view from before the joining may lack what others have claimed and placed meanwhile.
        return phase == Phase.MEMBER && fresh() && membership.trusted(loop.now()) && view.watched() >= joinedAt;
    }

    /** Whether the view follows the store without a gap. */
    public boolean fresh() {
        return synced && loop.now().isBefore(lastWatched.plus(FRESH));
    }

    /**
     * The moment up to which all commits of all controllers are surely known here: when the last watch or reading that
     * was answered had been sent. An answer may be held back for long, and an open watch just waits in an outage.
     */
    public Instant knownUntil() {
        return knownUntil;
    }

    // Reading and watching

    private void readAll() {
        synced = false;
        long run = ++watchRun;
        readPage(run, loop.now(), null, 0, new HashMap<>());
    }

    private void readPage(long run, Instant asked, String from, long firstRevision, Map<String, JsonNode> items) {
        store.list(Keys.LIVE, from, outcome -> {
            if (run != watchRun) {
                return;
            }
            if (!outcome.is(200)) {
                loop.after(RETRY, () -> {
                    if (run == watchRun) {
                        readAll();
                    }
                });
                return;
            }
            String last = null;
            for (JsonNode item : outcome.body().path("items")) {
                last = item.path("k").asText();
                items.put(last, item);
            }
            long revision = firstRevision == 0 ? outcome.revision() : firstRevision;
            if (outcome.body().path("more").asBoolean() && last != null) {
                readPage(run, asked, last, revision, items);
                return;
            }
            view.clear();
            items.forEach((key, item) -> take(key, item));
            view.readAt(revision);
            synced = true;
            lastWatched = loop.now();
            knownUntil = asked;
            LOG.info("read {} keys at revision {}", items.size(), revision);
            changed.run();
            watch(run, revision);
        });
    }

    private void take(String key, JsonNode item) {
        try {
            Object value = RecordCodec.decode(key, item.path("v"));
            if (value != null) {
                view.put(key, value, StateStore.mark(item));
            }
        } catch (MalformedException e) {
            LOG.error("{} holds a value that is not of our form: {}", key, e.getMessage());
        }
    }

    private void watch(long run, long from) {
        Instant asked = loop.now();
        store.watch(Keys.LIVE, from, watchWait, outcome -> {
            if (run != watchRun) {
                return;
            }
            if (outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 410) {
                readAll();
                return;
            }
            if (!outcome.is(200)) {
                loop.after(RETRY, () -> {
                    if (run == watchRun) {
                        watch(run, from);
                    }
                });
                return;
            }
            boolean any = false;
            for (JsonNode event : outcome.body().path("events")) {
                String removed = event.path("remove").asText(null);
                if (removed != null) {
                    any |= view.remove(removed, StateStore.mark(event));
                } else {
                    take(event.path("put").asText(), event);
                    any = true;
                }
            }
            long to = Math.max(from, outcome.revision());
            view.watchedTo(to);
            lastWatched = loop.now();
            knownUntil = asked;
            if (any || awaited > 0) {
                changed.run();
            }
            // The store answers at once while changes go on; a short pause gathers them and spares requests.
            if (asked.plus(BUSY_RETRY).isAfter(loop.now())) {
                watches.spend(1);
                loop.after(watches.pause(), () -> {
                    if (run == watchRun) {
                        watch(run, to);
                    }
                });
            } else {
                watch(run, to);
            }
        });
    }

    // Membership

    private Incarnation self() {
        return membership.self();
    }

    private String memberKey() {
        return Keys.member(self().node());
    }

    /** Joins anew, unless that is under way: two at a time would end each other's lease (incident inc-9df7). */
    private void join() {
        if (phase != Phase.JOINING) {
            phase = Phase.JOINING;
            membership.lost();
            tryToJoin();
        }
    }

    private void tryToJoin() {
        store.get(memberKey(), outcome -> {
            if (outcome.is(200) && outcome.body().hasNonNull("tether")) {
                // Only this node writes this key, so an earlier process or membership of its own left it there.
                store.end(outcome.body().path("tether").asLong(), ended -> {
                    if (ended.kind() == Reply.Kind.ANSWERED && ended.status() == 200) {
                        tryToJoin();
                    } else {
                        rejoinSoon();
                    }
                });
            } else if (outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 404) {
                enter();
            } else {
                rejoinSoon();
            }
        });
    }

    private void rejoinSoon() {
        loop.after(RETRY, this::tryToJoin);
    }

    private void enter() {
        Instant sent = loop.now();
        store.grant(membership.life(), granted -> {
            if (!granted.is(200)) {
                rejoinSoon();
                return;
            }
            long lease = granted.body().path("tether").asLong();
            store.commit(Set.of(memberKey()), key -> 0, Map.of(memberKey(), self()), lease, outcome -> {
                if (!outcome.is(200)) {
                    rejoinSoon();
                    return;
                }
                membership.joined(lease, sent);
                memberSince = outcome.revision();
                joinedAt = memberSince;
                view.put(memberKey(), self(), outcome.revision());
                phase = Phase.MEMBER;
                term++;
                committing = false;
                LOG.info("joined as {} with lease {}", self(), lease);
                changed.run();
            });
        });
    }

    private void renew() {
        if (phase != Phase.MEMBER || renewals > 1) {
            return;
        }
        long lease = membership.lease();
        Instant sent = loop.now();
        renewals++;
        store.renew(lease, membership.life().dividedBy(3), outcome -> {
            renewals--;
            if (phase != Phase.MEMBER || lease != membership.lease()) {
                return;
            }
            if (outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 200) {
                boolean before = membership.trusted(loop.now());
                membership.renewed(sent);
                if (!before) {
                    LOG.info("membership is trusted again");
                    changed.run();
                }
            } else if (outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 404) {
                LOG.info("membership ended");
                join();
            }
        });
    }

    // Commits

    /** Takes the part of the changes that a leader, or another controller, may use now. */
    public void share(boolean leading) {
        changes.take(loop.now().isBefore(busyUntil) ? pace.fairPart(leading) : Pace.FREE_PART);
    }

    /** How many changes a commit may hold now: what comes next should never wait long for the budget to recover. */
    public int changesLeft() {
        return changes.left();
    }

    /** Whether changes that could wait may be committed as well. */
    public boolean plenty() {
        return changes.plenty();
    }

    /** Whether a draft could be committed now. */
    public boolean ready() {
        if (!entitled() || committing || loop.now().isBefore(commitNotBefore) || !changes.gathered()) {
            return false;
        }
        if (view.watched() < Math.max(memberSince, self().equals(view.leader()) ? view.mark(Keys.LEADER) : 0)) {
            // What a former holder of this name, or of the leadership, has placed must be known first.
            return false;
        }
        if (view.watched() < awaited) {
            if (awaitedSince.plus(LONGEST_AWAITED).isBefore(loop.now())) {
                LOG.info("the watch does not bring revision {}; reading anew", awaited);
                awaited = 0;
                readAll();
            }
            return false;
        }
        awaited = 0;
        return true;
    }

    /**
     * Sends the draft. To be called only while {@link #ready()}, and on the event loop; the callback runs there too, once
     * the outcome is certain: after an unknown outcome that is when a later execution has been ruled out.
     */
    public void commit(Draft draft, Consumer<Result> callback) {
        committing = true;
        changes.spend(draft.changes().size());
        commits.spend(1);
        long lease = membership.lease();
        int sentIn = term;
        long knownTo = view.watched();
        Map<String, Long> marks = new HashMap<>();
        draft.guards().forEach(key -> marks.put(key, view.mark(key)));
        store.commit(draft.guards(), marks::get, draft.changes(), lease, outcome -> {
            if (outcome.is(200)) {
                ended(sentIn);
                refusals.clear();
                long revision = outcome.revision();
                draft.changes().forEach((key, value) -> {
                    if (value == null) {
                        view.remove(key, revision);
                    } else if (key.startsWith(Keys.LIVE)) {
                        view.put(key, value, revision);
                    }
                });
                Duration pause = commits.pause();
                commitNotBefore = loop.now().plus(pause);
                loop.after(pause, changed);
                callback.accept(new Result(true, Set.of()));
                changed.run();
            } else if (outcome.unknown()) {
                LOG.info("a commit got no answer; writing the member key anew");
                ruleOut(() -> callback.accept(Result.REFUSED));
            } else {
                ended(sentIn);
                Set<String> failed = Set.of();
                if (outcome.is(409)) {
                    failed = failedGuards(outcome);
                    refused(failed, outcome.revision(), lease, marks, knownTo);
                } else {
                    if (outcome.status() == 429) {
                        busyUntil = loop.now().plus(BUSY_MEMORY);
                    }
                    commitNotBefore = loop.now().plus(BUSY_RETRY);
                    loop.after(BUSY_RETRY, changed);
                    if (outcome.status() == 400) {
                        LOG.info("a commit was refused: {}", outcome.body());
                    }
                }
                callback.accept(new Result(false, failed));
            }
        });
    }

    private void ended(int sentIn) {
        if (sentIn == term) {
            committing = false;
        }
    }

    private static Set<String> failedGuards(StateStore.Outcome outcome) {
        Set<String> failed = new HashSet<>();
        outcome.body().path("failed").forEach(key -> failed.add(key.asText()));
        return failed;
    }

    private void refused(Set<String> failed, long revision, long lease, Map<String, Long> marks, long knownTo) {
        LOG.debug("guards failed: {}", failed);
        if (failed.contains(memberKey()) && lease == membership.lease()) {
            join();
            return;
        }
        // A refusal for the same mark of a key, though the watch has passed the first one, means that the view is
        // wrong about that key; it would be refused for ever.
        boolean wrong = false;
        for (String key : failed) {
            Refusal before = refusals.put(key, new Refusal(marks.get(key), revision));
            wrong |= key.startsWith(Keys.LIVE)
                    && before != null
                    && before.mark() > 0
                    && before.mark() == marks.get(key)
                    && knownTo >= before.revision();
        }
        if (wrong) {
            LOG.error("refused again for {}, which the watch should have brought; reading anew", failed);
            refusals.clear();
            readAll();
        } else {
            await(revision);
        }
    }

    private record Refusal(long mark, long revision) {}

    private void await(long revision) {
        if (view.watched() < revision) {
            awaited = revision;
            awaitedSince = loop.now();
        } else {
            commitNotBefore = loop.now().plusMillis(20);
            loop.after(Duration.ofMillis(20), changed);
        }
    }

    /** Makes sure that earlier commits of this controller can no longer be carried out. */
    private void ruleOut(Runnable then) {
        long lease = membership.lease();
        int sentIn = term;
        store.commit(Set.of(memberKey()), view::mark, Map.of(memberKey(), self()), lease, outcome -> {
            if (outcome.is(200)) {
                memberSince = outcome.revision();
                view.put(memberKey(), self(), outcome.revision());
                ended(sentIn);
                await(outcome.revision());
                then.run();
            } else if (outcome.is(409) || outcome.kind() == Reply.Kind.ANSWERED && outcome.status() == 400) {
                // Either the membership has ended, or an earlier try of this very write was carried out. An answer
                // that comes after this controller has joined anew says nothing about its present membership.
                then.run();
                if (lease == membership.lease()) {
                    join();
                }
            } else {
                loop.after(RETRY, () -> {
                    if (lease == membership.lease() && phase == Phase.MEMBER) {
                        ruleOut(then);
                    } else {
                        ended(sentIn);
                        then.run();
                    }
                });
            }
        });
    }

    /** Asks whether the view's marks of these keys are the newest; the answer is the keys that are not, or null. */
    public void verify(Set<String> keys, Consumer<Set<String>> callback) {
        questions.spend(1);
        store.commit(keys, view::mark, Map.of(), 0, outcome -> {
            if (outcome.is(200)) {
                callback.accept(Set.of());
            } else if (outcome.is(409)) {
                callback.accept(failedGuards(outcome));
            } else {
                callback.accept(null);
            }
        });
    }

    /** How long questions should be gathered before the next verification. */
    public Duration questionPause() {
        return questions.pause();
    }

    public StateStore store() {
        return store;
    }
}
