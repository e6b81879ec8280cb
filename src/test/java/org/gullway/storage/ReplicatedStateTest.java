package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Count;
import org.junit.jupiter.api.Test;

/** Tests joining, lease renewal, watching and committing against a simulated state store. */
class ReplicatedStateTest extends ReplicatedStateFixture {
    @Test
    void joinsAndCommits() {
        assertThat(replicatedState.holdsValidLease()).isTrue();
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        replicatedState.commit(fencingTokenTransaction(), results::add);
        run(1);
        assertThat(results)
                .extracting(ReplicatedState.CommitResult::isCommitted)
                .containsExactly(true);
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(1));
        assertThat(store.value(StoreKeys.FENCING_TOKEN).path("epoch").asLong()).isEqualTo(1);
    }

    /** Guards against a controller that runs out of memory, and hangs, on a response with all changes of a long gap. */
    @Test
    void afterManyChangesAllKeysAreReadInPlaceOfOneLargeResponse() {
        SimulatedTime.SimulatedProcess peerProcess = time.newProcess();
        StateStoreClient peer = new StateStoreClient(network.client("perch-1", peerProcess), STORE_ADDRESS);
        store.rejectFrom("perch-0", true);
        Set<String> cordoned = new LinkedHashSet<>();
        for (int i = 0; i < 1000; i++) {
            cordoned.add("vm-" + (100_000 + i));
        }
        for (int i = 0; i < 300; i++) {
            cordoned.remove("vm-" + (100_000 + i));
            peer.commit(
                    List.of(),
                    key -> Count.ZERO,
                    Map.of(StoreKeys.CORDONED, new CordonedMachines(Set.copyOf(cordoned))),
                    Count.ZERO,
                    outcome -> {});
            time.runUntil(time.now().plusMillis(40));
        }
        storeRequests.clear();
        store.rejectFrom("perch-0", false);
        run(3);
        assertThat(storeRequests).contains("GET /store");
        assertThat(replicatedState.isFresh()).isTrue();
        assertThat(clusterState.cordonedMachines()).hasSize(700);
    }

    @Test
    void commitsStayWithinTheChangeRateLimit() {
        int sent = 0;
        for (int i = 0; i < 1000; i++) {
            time.runUntil(time.now().plusMillis(10));
            if (replicatedState.canCommit()) {
                replicatedState.commit(fencingTokenTransaction(), result -> {});
                sent++;
            }
        }
        assertThat(sent).isBetween(100, 30 * 10);
    }

    /**
     * Guards against a second join after a restart. A full read that completes after the join may still contain the
     * member key of the former process; the controller must not take it for the end of its own membership.
     */
    @Property(tries = 40, seed = "12")
    void joinsOnceWhenFullReadShowsMemberKeyOfFormerProcess(
            @ForAll @IntRange(min = 0, max = 400) int millisBeforeRestart) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        ClusterState restartedState = new ClusterState();
        Incarnation restartedIncarnation = new Incarnation(TestFixtures.SELF.node(), 99);
        test.time.runUntil(test.time.now().plusMillis(millisBeforeRestart));
        test.network.delayResponses("/store", Duration.ofMillis(700));
        test.controllerProcess.kill();
        SimulatedTime.SimulatedProcess process = test.time.newProcess();
        ReplicatedState restarted = new ReplicatedState(
                process,
                new StateStoreClient(test.network.client("perch-0", process), STORE_ADDRESS),
                restartedState,
                new Membership(restartedIncarnation, Duration.ofSeconds(6)),
                new ReplicatedState.StoreRateLimits(30, 150, 3),
                Duration.ofSeconds(1),
                () -> {});
        test.storeRequests.clear();
        restarted.start();
        for (int i = 0; i < 6000; i++) {
            test.time.runUntil(test.time.now().plusMillis(1));
            if (restarted.canCommit()) {
                Transaction transaction = new Transaction(
                        restartedState, restartedIncarnation, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
                transaction.nextFencingToken();
                restarted.commit(transaction, result -> {});
            }
        }
        assertThat(restartedState.fencingToken()).isGreaterThan(Count.ZERO);
        assertThat(test.storeRequests)
                .filteredOn(request -> request.equals("POST /grants"))
                .hasSize(1);
    }

    /**
     * Guards against endless conflicts on a key whose version in the cluster state is wrong, whatever the cause. The
     * test puts a leader record into the cluster state with a version that the store never wrote.
     */
    @Test
    void repeatedConflictTriggersFullRead() {
        clusterState.put(
                StoreKeys.LEADER,
                TestFixtures.PEER,
                clusterState.watchedRevision().plus(1_000_000));
        clusterState.advanceTo(clusterState.watchedRevision());
        for (int i = 0; i < 300 && clusterState.leader() != null; i++) {
            if (replicatedState.canCommit()) {
                Transaction transaction = fencingTokenTransaction();
                transaction.requireUnchanged(StoreKeys.LEADER);
                replicatedState.commit(transaction, result -> {});
            }
            time.runUntil(time.now().plusMillis(100));
        }
        assertThat(clusterState.leader()).isNull();
        replicatedState.commit(fencingTokenTransaction(), result -> {});
        run(1);
        assertThat(clusterState.fencingToken()).isEqualTo(Count.of(1));
    }

    @Test
    void losesValidLeaseDuringStoreOutageAndRegainsItAfterwards() {
        store.setDown(true);
        run(7);
        assertThat(replicatedState.holdsValidLease()).isFalse();
        store.setDown(false);
        run(3);
        assertThat(replicatedState.holdsValidLease()).isTrue();
    }

    /**
     * The network partition delays the transaction, so that its outcome is unknown. If the transaction arrives after
     * the member key was rewritten, it fails. The callback must wait for the fencing, and the cluster state must agree
     * with the store afterwards, whether or not the transaction was applied.
     */
    @Test
    void transactionWithUnknownOutcomeIsFencedBeforeItsCallback() {
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        network.cut("perch-0", STORE_ADDRESS);
        replicatedState.commit(fencingTokenTransaction(), results::add);
        run(4);
        assertThat(results).isEmpty();
        network.heal();
        run(5);
        assertThat(results).hasSize(1);
        boolean applied = store.value(StoreKeys.FENCING_TOKEN) != null;
        assertThat(clusterState.fencingToken()).isEqualTo(applied ? Count.ONE : Count.ZERO);
    }

    /** Guards against two concurrent joins, which would revoke each other's lease. */
    @Property(tries = 60, seed = "6")
    void requestsAtMostOneLeaseAfterLongPartitionWithTransactionInFlight(
            @ForAll @IntRange(min = 7_000, max = 30_000) int partitionMillis) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        test.network.cut("perch-0", STORE_ADDRESS);
        test.replicatedState.commit(test.fencingTokenTransaction(), result -> {});
        test.time.runUntil(test.time.now().plusMillis(partitionMillis));
        test.network.heal();
        test.storeRequests.clear();
        test.run(10);
        assertThat(test.replicatedState.holdsValidLease()).isTrue();
        assertThat(test.storeRequests)
                .filteredOn(request -> request.equals("POST /grants"))
                .hasSizeLessThanOrEqualTo(1);
    }

    /**
     * {@code knownThrough} advances only to the time at which an answered watch was sent. A watch that is open, or was
     * rejected, does not advance it.
     */
    @Property(tries = 50, seed = "32")
    void knownThroughDoesNotAdvanceWhileTheStoreIsDown(
            @ForAll @IntRange(min = 1, max = 20_000) int millisBeforeOutage) {
        ReplicatedStateTest test = new ReplicatedStateTest();
        test.time.runUntil(test.time.now().plusMillis(millisBeforeOutage));
        Instant before = test.replicatedState.knownThrough();
        assertThat(before).isBetween(test.time.now().minusMillis(2100), test.time.now());
        test.store.setDown(true);
        Instant downSince = test.time.now();
        test.run(30);
        assertThat(test.replicatedState.knownThrough()).isBeforeOrEqualTo(downSince);
        test.store.setDown(false);
        test.run(10);
        assertThat(test.replicatedState.knownThrough()).isAfter(downSince.plusSeconds(30));
    }

    /**
     * Until the watch has reached the revision of the join, the cluster state may lack placements that other
     * controllers have committed.
     */
    @Test
    void holdsNoValidLeaseUntilWatchReachesJoinRevision() {
        run(2);
        network.delayResponses("/watch", Duration.ofMillis(900));
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS)
                .revokeLease(Count.ONE, outcome -> {});
        int millisWithValidLease = 0;
        int millisBehind = 0;
        for (int i = 0; i < 6000; i++) {
            time.runUntil(time.now().plusMillis(1));
            boolean watchHasReachedJoin = clusterState
                    .watchedRevision()
                    .isAtLeast(clusterState.version(StoreKeys.member(TestFixtures.SELF.node())));
            millisBehind += watchHasReachedJoin ? 0 : 1;
            millisWithValidLease += replicatedState.holdsValidLease() ? 1 : 0;
            assertThat(replicatedState.holdsValidLease() && !watchHasReachedJoin)
                    .isFalse();
        }
        assertThat(millisBehind)
                .as("milliseconds during which the watch was behind the join")
                .isPositive();
        assertThat(millisWithValidLease).isPositive();
    }

    /**
     * Guards against two transactions in flight: the late response to a transaction of the former membership must not
     * be taken for the response to the transaction that was sent after this controller joined again.
     */
    @Test
    void lateResponseFromFormerMembershipDoesNotAllowSecondTransactionInFlight() {
        run(2);
        network.delayResponses("/commit", Duration.ofMillis(2500));
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        replicatedState.commit(fencingTokenTransaction(), results::add);
        time.runUntil(time.now().plusMillis(50));
        // Removes the delay. Revoking the lease with ID 1, the first lease, ends the membership.
        network.delayResponses("", Duration.ZERO);
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS)
                .revokeLease(Count.ONE, outcome -> {});
        // Revision 1 is the join, 2 the transaction and 3 the revocation, so a higher version means a second join.
        for (int i = 0;
                i < 2500
                        && !(clusterState
                                        .version(StoreKeys.member(TestFixtures.SELF.node()))
                                        .isGreaterThan(Count.of(3))
                                && replicatedState.canCommit());
                i++) {
            time.runUntil(time.now().plusMillis(1));
        }
        assertThat(replicatedState.canCommit())
                .as("can commit after joining again")
                .isTrue();
        assertThat(results)
                .as("results while the first transaction has no response")
                .isEmpty();
        network.delayResponses("/commit", Duration.ofMillis(2900));
        replicatedState.commit(fencingTokenTransaction(), results::add);
        for (int i = 0; i < 2800; i++) {
            time.runUntil(time.now().plusMillis(1));
            assertThat(replicatedState.canCommit())
                    .as("can commit while the second transaction is in flight")
                    .isFalse();
        }
        assertThat(results)
                .as("results after the late response to the first transaction")
                .hasSize(1);
    }
}
