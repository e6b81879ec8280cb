package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.junit.jupiter.api.Test;

class ReplicatedStateTest {
    private static final String STATE = "10.2.0.1:2379";
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.Process process = time.process();
    private final SimulatedTime.Process own = time.process();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(2), 0);
    private final FakeStateStore store = new FakeStateStore(process);
    private final ClusterState clusterState = new ClusterState();
    private final List<String> calls = new ArrayList<>();
    private final ReplicatedState replicatedState;

    ReplicatedStateTest() {
        network.listen(STATE, process, exchange -> {
            calls.add(exchange.method() + " " + exchange.path());
            store.handle(exchange);
        });
        replicatedState = new ReplicatedState(
                own,
                new StateStoreClient(network.client("perch-0", own), STATE),
                clusterState,
                new Membership(TestFixtures.SELF, Duration.ofSeconds(6)),
                new ReplicatedState.StoreRateLimits(30, 150, 3),
                Duration.ofSeconds(1),
                () -> {});
        replicatedState.start();
        run(1);
    }

    private void run(int seconds) {
        time.runUntil(time.now().plusSeconds(seconds));
    }

    private Transaction draft() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY);
        transaction.nextFencingToken();
        return transaction;
    }

    @Test
    void joinsAndCommits() {
        assertThat(replicatedState.holdsValidLease()).isTrue();
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        replicatedState.commit(draft(), results::add);
        run(1);
        assertThat(results).extracting(ReplicatedState.CommitResult::committed).containsExactly(true);
        assertThat(clusterState.fencingToken()).isEqualTo(1);
        assertThat(store.value(StoreKeys.FENCING_TOKEN).path("epoch").asLong()).isEqualTo(1);
    }

    @Test
    void keepsWithinItsPartOfTheStoresChanges() {
        int committed = 0;
        for (int i = 0; i < 1000; i++) {
            time.runUntil(time.now().plusMillis(10));
            if (replicatedState.canCommit()) {
                replicatedState.commit(draft(), result -> {});
                committed++;
            }
        }
        assertThat(committed).isBetween(100, 30 * 10);
    }

    /** Once, a reading that ended after the joining showed the former process's key, and it joined a second time. */
    @Property(tries = 40, seed = "12")
    void joinsOnceThoughItsReadingIsOlder(@ForAll @IntRange(min = 0, max = 400) int millis) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        ClusterState another = new ClusterState();
        Incarnation next = new Incarnation(TestFixtures.SELF.node(), 99);
        test.time.runUntil(test.time.now().plusMillis(millis));
        test.network.delayResponses("/store", Duration.ofMillis(700));
        test.own.kill();
        SimulatedTime.Process process = test.time.process();
        ReplicatedState restarted = new ReplicatedState(
                process,
                new StateStoreClient(test.network.client("perch-0", process), STATE),
                another,
                new Membership(next, Duration.ofSeconds(6)),
                new ReplicatedState.StoreRateLimits(30, 150, 3),
                Duration.ofSeconds(1),
                () -> {});
        test.calls.clear();
        restarted.start();
        for (int i = 0; i < 6000; i++) {
            test.time.runUntil(test.time.now().plusMillis(1));
            if (restarted.canCommit()) {
                Transaction transaction = new Transaction(another, next, TestFixtures.LIMITS, TestFixtures.DAY);
                transaction.nextFencingToken();
                restarted.commit(transaction, result -> {});
            }
        }
        assertThat(another.fencingToken()).isPositive();
        assertThat(test.calls).filteredOn(c -> c.equals("POST /grants")).hasSize(1);
    }

    /** Whatever made the view wrong about a key, refusals for it must not go on for ever. */
    @Test
    void readsAnewWhenItIsRefusedForAKeyThatItDoesNotKnowBetter() {
        clusterState.put(StoreKeys.LEADER, TestFixtures.PEER, clusterState.watchedRevision() + 1_000_000);
        clusterState.advanceTo(clusterState.watchedRevision());
        for (int i = 0; i < 300 && clusterState.leader() != null; i++) {
            if (replicatedState.canCommit()) {
                Transaction transaction = draft();
                transaction.requireUnchanged(StoreKeys.LEADER);
                replicatedState.commit(transaction, result -> {});
            }
            time.runUntil(time.now().plusMillis(100));
        }
        assertThat(clusterState.leader()).isNull();
        replicatedState.commit(draft(), result -> {});
        run(1);
        assertThat(clusterState.fencingToken()).isEqualTo(1);
    }

    @Test
    void isNotEntitledWithoutTheStoreAndIsAgainAfterwards() {
        store.setDown(true);
        run(7);
        assertThat(replicatedState.holdsValidLease()).isFalse();
        store.setDown(false);
        run(3);
        assertThat(replicatedState.holdsValidLease()).isTrue();
    }

    /** The commit is held back by the cut and arrives after it; the rewritten member key makes it fail. */
    @Test
    void aCommitWithoutAnAnswerIsRuledOutBeforeItsCallerHears() {
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        network.cut("perch-0", STATE);
        replicatedState.commit(draft(), results::add);
        run(4);
        assertThat(results).isEmpty();
        network.heal();
        run(5);
        assertThat(results).hasSize(1);
        boolean carriedOut = store.value(StoreKeys.FENCING_TOKEN) != null;
        assertThat(clusterState.fencingToken()).isEqualTo(carriedOut ? 1 : 0);
    }

    /** Once, two attempts to join ran side by side and each ended the lease of the other (incident inc-9df7). */
    @Property(tries = 60, seed = "6")
    void joinsOnceAfterALongCutWithACommitOnItsWay(@ForAll @IntRange(min = 7_000, max = 30_000) int millis) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        test.network.cut("perch-0", STATE);
        test.replicatedState.commit(test.draft(), result -> {});
        test.time.runUntil(test.time.now().plusMillis(millis));
        test.network.heal();
        test.calls.clear();
        test.run(10);
        assertThat(test.replicatedState.holdsValidLease()).isTrue();
        assertThat(test.calls).filteredOn(c -> c.equals("POST /grants")).hasSizeLessThanOrEqualTo(1);
    }

    /** It ends with the sending of the last watch that was answered: one that is open, or refused, adds nothing. */
    @Property(tries = 50, seed = "32")
    void whatIsKnownDoesNotGrowWhileTheStoreIsSilent(@ForAll @IntRange(min = 1, max = 20_000) int millis) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        test.time.runUntil(test.time.now().plusMillis(millis));
        Instant before = test.replicatedState.knownThrough();
        assertThat(before).isBetween(test.time.now().minusMillis(2100), test.time.now());
        test.store.setDown(true);
        Instant down = test.time.now();
        test.run(30);
        assertThat(test.replicatedState.knownThrough()).isBeforeOrEqualTo(down);
        test.store.setDown(false);
        test.run(10);
        assertThat(test.replicatedState.knownThrough()).isAfter(down.plusSeconds(30));
    }

    /** Until the watch has passed its joining it may not know what others have claimed and placed: nothing is sent. */
    @Test
    void isNotEntitledBeforeItKnowsWhatWasCommittedUntilItJoined() {
        run(2);
        network.delayResponses("/watch", Duration.ofMillis(900));
        new StateStoreClient(network.client("other", process), STATE).end(1, outcome -> {});
        int entitled = 0;
        int behind = 0;
        for (int i = 0; i < 6000; i++) {
            time.runUntil(time.now().plusMillis(1));
            boolean knows =
                    clusterState.watchedRevision() >= clusterState.version(StoreKeys.member(TestFixtures.SELF.node()));
            behind += knows ? 0 : 1;
            entitled += replicatedState.holdsValidLease() ? 1 : 0;
            assertThat(replicatedState.holdsValidLease() && !knows).isFalse();
        }
        assertThat(behind).as("the watch was behind for a while").isPositive();
        assertThat(entitled).isPositive();
    }

    /** An answer to a commit of the membership before does not say that the one now on its way has ended. */
    @Test
    void oneCommitIsOnItsWayThoughAnOlderOneIsAnsweredLate() {
        run(2);
        network.delayResponses("/commit", Duration.ofMillis(2500));
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        replicatedState.commit(draft(), results::add);
        time.runUntil(time.now().plusMillis(50));
        network.delayResponses("", Duration.ZERO);
        new StateStoreClient(network.client("other", process), STATE).end(1, outcome -> {});
        for (int i = 0;
                i < 2500
                        && !(clusterState.version(StoreKeys.member(TestFixtures.SELF.node())) > 3
                                && replicatedState.canCommit());
                i++) {
            time.runUntil(time.now().plusMillis(1));
        }
        assertThat(replicatedState.canCommit()).as("joined anew").isTrue();
        assertThat(results).as("the first is still open").isEmpty();
        network.delayResponses("/commit", Duration.ofMillis(2900));
        replicatedState.commit(draft(), results::add);
        for (int i = 0; i < 2800; i++) {
            time.runUntil(time.now().plusMillis(1));
            assertThat(replicatedState.canCommit()).as("the second is open").isFalse();
        }
        assertThat(results).as("the first was answered meanwhile").hasSize(1);
    }
}
