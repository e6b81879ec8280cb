package org.gullway.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.ClusterView;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.Keys;
import org.gullway.coordination.Membership;
import org.gullway.coordination.Samples;
import org.gullway.coordination.Transaction;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.junit.jupiter.api.Test;

class LedgerTest {
    private static final String STATE = "10.2.0.1:2379";
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Process process = time.process();
    private final SimulatedTime.Process own = time.process();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(2), 0);
    private final FakeStateStore store = new FakeStateStore(process);
    private final ClusterView view = new ClusterView();
    private final List<String> calls = new ArrayList<>();
    private final Ledger ledger;

    LedgerTest() {
        network.listen(STATE, process, call -> {
            calls.add(call.method() + " " + call.path());
            store.handle(call);
        });
        ledger = new Ledger(
                own,
                new StateStore(network.client("perch-0", own), STATE),
                view,
                new Membership(Samples.SELF, Duration.ofSeconds(6)),
                new Ledger.Pace(30, 150, 3),
                Duration.ofSeconds(1),
                () -> {});
        ledger.start();
        run(1);
    }

    private void run(int seconds) {
        time.runUntil(time.now().plusSeconds(seconds));
    }

    private Transaction draft() {
        Transaction draft = new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
        draft.raiseEpoch();
        return draft;
    }

    @Test
    void joinsAndCommits() {
        assertThat(ledger.entitled()).isTrue();
        List<Ledger.Result> results = new ArrayList<>();
        ledger.commit(draft(), results::add);
        run(1);
        assertThat(results).extracting(Ledger.Result::committed).containsExactly(true);
        assertThat(view.epoch()).isEqualTo(1);
        assertThat(store.value(Keys.EPOCH).path("epoch").asLong()).isEqualTo(1);
    }

    @Test
    void keepsWithinItsPartOfTheStoresChanges() {
        int committed = 0;
        for (int i = 0; i < 1000; i++) {
            time.runUntil(time.now().plusMillis(10));
            if (ledger.ready()) {
                ledger.commit(draft(), result -> {});
                committed++;
            }
        }
        assertThat(committed).isBetween(100, 30 * 10);
    }

    /** Once, a reading that ended after the joining showed the former process's key, and it joined a second time. */
    @Property(tries = 40, seed = "12")
    void joinsOnceThoughItsReadingIsOlder(@ForAll @IntRange(min = 0, max = 400) int millis) {
        LedgerTest test = new LedgerTest();
        ClusterView another = new ClusterView();
        Incarnation next = new Incarnation(Samples.SELF.node(), 99);
        test.time.runUntil(test.time.now().plusMillis(millis));
        test.network.slow("/store", Duration.ofMillis(700));
        test.own.kill();
        SimulatedTime.Process process = test.time.process();
        Ledger restarted = new Ledger(
                process,
                new StateStore(test.network.client("perch-0", process), STATE),
                another,
                new Membership(next, Duration.ofSeconds(6)),
                new Ledger.Pace(30, 150, 3),
                Duration.ofSeconds(1),
                () -> {});
        test.calls.clear();
        restarted.start();
        for (int i = 0; i < 6000; i++) {
            test.time.runUntil(test.time.now().plusMillis(1));
            if (restarted.ready()) {
                Transaction draft = new Transaction(another, next, Samples.LIMITS, Samples.DAY);
                draft.raiseEpoch();
                restarted.commit(draft, result -> {});
            }
        }
        assertThat(another.epoch()).isPositive();
        assertThat(test.calls).filteredOn(c -> c.equals("POST /grants")).hasSize(1);
    }

    /** Whatever made the view wrong about a key, refusals for it must not go on for ever. */
    @Test
    void readsAnewWhenItIsRefusedForAKeyThatItDoesNotKnowBetter() {
        view.put(Keys.LEADER, Samples.PEER, view.watched() + 1_000_000);
        view.watchedTo(view.watched());
        for (int i = 0; i < 300 && view.leader() != null; i++) {
            if (ledger.ready()) {
                Transaction draft = draft();
                draft.rely(Keys.LEADER);
                ledger.commit(draft, result -> {});
            }
            time.runUntil(time.now().plusMillis(100));
        }
        assertThat(view.leader()).isNull();
        ledger.commit(draft(), result -> {});
        run(1);
        assertThat(view.epoch()).isEqualTo(1);
    }

    @Test
    void isNotEntitledWithoutTheStoreAndIsAgainAfterwards() {
        store.setDown(true);
        run(7);
        assertThat(ledger.entitled()).isFalse();
        store.setDown(false);
        run(3);
        assertThat(ledger.entitled()).isTrue();
    }

    /** The commit is held back by the cut and arrives after it; the rewritten member key makes it fail. */
    @Test
    void aCommitWithoutAnAnswerIsRuledOutBeforeItsCallerHears() {
        List<Ledger.Result> results = new ArrayList<>();
        network.cut("perch-0", STATE);
        ledger.commit(draft(), results::add);
        run(4);
        assertThat(results).isEmpty();
        network.heal();
        run(5);
        assertThat(results).hasSize(1);
        boolean carriedOut = store.value(Keys.EPOCH) != null;
        assertThat(view.epoch()).isEqualTo(carriedOut ? 1 : 0);
    }

    /** Once, two attempts to join ran side by side and each ended the lease of the other (incident inc-9df7). */
    @Property(tries = 60, seed = "6")
    void joinsOnceAfterALongCutWithACommitOnItsWay(@ForAll @IntRange(min = 7_000, max = 30_000) int millis) {
        LedgerTest test = new LedgerTest();
        test.network.cut("perch-0", STATE);
        test.ledger.commit(test.draft(), result -> {});
        test.time.runUntil(test.time.now().plusMillis(millis));
        test.network.heal();
        test.calls.clear();
        test.run(10);
        assertThat(test.ledger.entitled()).isTrue();
        assertThat(test.calls).filteredOn(c -> c.equals("POST /grants")).hasSizeLessThanOrEqualTo(1);
    }

    /** It ends with the sending of the last watch that was answered: one that is open, or refused, adds nothing. */
    @Property(tries = 50, seed = "32")
    void whatIsKnownDoesNotGrowWhileTheStoreIsSilent(@ForAll @IntRange(min = 1, max = 20_000) int millis) {
        LedgerTest test = new LedgerTest();
        test.time.runUntil(test.time.now().plusMillis(millis));
        Instant before = test.ledger.knownUntil();
        assertThat(before).isBetween(test.time.now().minusMillis(2100), test.time.now());
        test.store.setDown(true);
        Instant down = test.time.now();
        test.run(30);
        assertThat(test.ledger.knownUntil()).isBeforeOrEqualTo(down);
        test.store.setDown(false);
        test.run(10);
        assertThat(test.ledger.knownUntil()).isAfter(down.plusSeconds(30));
    }

    /** Until the watch has passed its joining it may not know what others have claimed and placed: nothing is sent. */
    @Test
    void isNotEntitledBeforeItKnowsWhatWasCommittedUntilItJoined() {
        run(2);
        network.slow("/watch", Duration.ofMillis(900));
        new StateStore(network.client("other", process), STATE).end(1, outcome -> {});
        int entitled = 0;
        int behind = 0;
        for (int i = 0; i < 6000; i++) {
            time.runUntil(time.now().plusMillis(1));
            boolean knows = view.watched() >= view.mark(Keys.member(Samples.SELF.node()));
            behind += knows ? 0 : 1;
            entitled += ledger.entitled() ? 1 : 0;
            assertThat(ledger.entitled() && !knows).isFalse();
        }
        assertThat(behind).as("the watch was behind for a while").isPositive();
        assertThat(entitled).isPositive();
    }

    /** An answer to a commit of the membership before does not say that the one now on its way has ended. */
    @Test
    void oneCommitIsOnItsWayThoughAnOlderOneIsAnsweredLate() {
        run(2);
        network.slow("/commit", Duration.ofMillis(2500));
        List<Ledger.Result> results = new ArrayList<>();
        ledger.commit(draft(), results::add);
        time.runUntil(time.now().plusMillis(50));
        network.slow("", Duration.ZERO);
        new StateStore(network.client("other", process), STATE).end(1, outcome -> {});
        for (int i = 0; i < 2500 && !(view.mark(Keys.member(Samples.SELF.node())) > 3 && ledger.ready()); i++) {
            time.runUntil(time.now().plusMillis(1));
        }
        assertThat(ledger.ready()).as("joined anew").isTrue();
        assertThat(results).as("the first is still open").isEmpty();
        network.slow("/commit", Duration.ofMillis(2900));
        ledger.commit(draft(), results::add);
        for (int i = 0; i < 2800; i++) {
            time.runUntil(time.now().plusMillis(1));
            assertThat(ledger.ready()).as("the second is open").isFalse();
        }
        assertThat(results).as("the first was answered meanwhile").hasSize(1);
    }
}
