package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.ForwardingExchange;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.InvalidTexts;
import org.gullway.transport.HttpExchange;
import org.junit.jupiter.api.Test;

/** Tests joining, lease renewal, watching and committing against a simulated state store. */
class ReplicatedStateTest {
    private static final String STORE_ADDRESS = "10.2.0.1:2379";
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess storeProcess = time.newProcess();
    private final SimulatedTime.SimulatedProcess controllerProcess = time.newProcess();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(2), 0);
    private final FakeStateStore store = new FakeStateStore(storeProcess);
    private final ClusterState clusterState = new ClusterState();
    private final List<String> storeRequests = new ArrayList<>();
    private final ReplicatedState replicatedState;
    private Runnable requestCycle = () -> {};

    ReplicatedStateTest() {
        network.listen(STORE_ADDRESS, storeProcess, exchange -> {
            storeRequests.add(exchange.method() + " " + exchange.path());
            store.handle(exchange);
        });
        replicatedState = new ReplicatedState(
                controllerProcess,
                new StateStoreClient(network.client("perch-0", controllerProcess), STORE_ADDRESS),
                clusterState,
                new Membership(TestFixtures.SELF, Duration.ofSeconds(6)),
                new ReplicatedState.StoreRateLimits(30, 150, 3),
                Duration.ofSeconds(1),
                () -> requestCycle.run());
        replicatedState.start();
        run(1);
    }

    private void run(int seconds) {
        time.runUntil(time.now().plusSeconds(seconds));
    }

    private Transaction fencingTokenTransaction() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        transaction.nextFencingToken();
        return transaction;
    }

    @Test
    void joinsAndCommits() {
        assertThat(replicatedState.holdsValidLease()).isTrue();
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        replicatedState.commit(fencingTokenTransaction(), results::add);
        run(1);
        assertThat(results)
                .extracting(ReplicatedState.CommitResult::isCommitted)
                .containsExactly(true);
        assertThat(clusterState.fencingToken()).isEqualTo(1);
        assertThat(store.value(StoreKeys.FENCING_TOKEN).path("epoch").asLong()).isEqualTo(1);
    }

    /**
     * Guards against a controller that never commits again: the exception of a transaction that cannot be encoded left
     * the transaction in flight for good.
     */
    @Test
    void transactionThatCannotBeEncodedDoesNotBlockLaterTransactions() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        transaction.put(StoreKeys.job("run-000001"), TestFixtures.unencodableJob("run-000001"));
        List<ReplicatedState.CommitResult> results = new ArrayList<>();
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> replicatedState.commit(transaction, results::add));
        run(1);
        assertThat(replicatedState.canCommit()).isTrue();
        assertThat(thrown).isNull();
        assertThat(results)
                .extracting(ReplicatedState.CommitResult::isCommitted)
                .containsExactly(false);
        replicatedState.commit(fencingTokenTransaction(), results::add);
        run(1);
        assertThat(store.value(StoreKeys.FENCING_TOKEN).path("epoch").asLong()).isEqualTo(1);
        assertThat(store.value(StoreKeys.job("run-000001"))).isNull();
    }

    /**
     * Guards against one record that makes all others unreadable: a text in it that is not valid UTF-8 made every full
     * read and every watch response with it malformed.
     */
    @Test
    void recordWithTextThatIsNotUtf8DoesNotHideOtherRecords() {
        for (String sequence : InvalidTexts.SEQUENCES) {
            ReplicatedStateTest test = new ReplicatedStateTest();
            test.network.listen(
                    STORE_ADDRESS,
                    test.storeProcess,
                    exchange -> test.store.handle(withInvalidTexts(exchange, sequence)));
            test.putInStore(StoreKeys.shard("g-1"), TestFixtures.shard(InvalidTexts.PLACEHOLDER));
            test.putInStore(StoreKeys.shard("g-2"), TestFixtures.shard("vm-000002"));
            test.run(12);
            assertThat(test.clusterState.shard("g-1")).as(sequence).isNull();
            assertThat(test.clusterState.shard("g-2")).as(sequence).isNotNull();
            assertThat(test.replicatedState.canCommit()).as(sequence).isTrue();
            ClusterState restarted = test.restart();
            assertThat(restarted.shard("g-1")).as(sequence).isNull();
            assertThat(restarted.shard("g-2")).as(sequence).isNotNull();
        }
    }

    private void putInStore(String key, StoreRecord value) {
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS)
                .commit(Set.of(), k -> 0, Map.of(key, value), 0, outcome -> {});
    }

    /** Starts another process of this controller and returns its cluster state after some seconds. */
    private ClusterState restart() {
        controllerProcess.kill();
        ClusterState restartedState = new ClusterState();
        SimulatedTime.SimulatedProcess process = time.newProcess();
        new ReplicatedState(
                        process,
                        new StateStoreClient(network.client("perch-0", process), STORE_ADDRESS),
                        restartedState,
                        new Membership(new Incarnation(TestFixtures.SELF.node(), 99), Duration.ofSeconds(6)),
                        new ReplicatedState.StoreRateLimits(30, 150, 3),
                        Duration.ofSeconds(1),
                        () -> {})
                .start();
        run(3);
        return restartedState;
    }

    /** Returns an exchange whose response has the invalid sequence in place of each placeholder. */
    private static HttpExchange withInvalidTexts(HttpExchange exchange, String sequence) {
        return new ForwardingExchange(exchange) {
            @Override
            public void respond(int status, byte[] content) {
                super.respond(status, InvalidTexts.replacePlaceholders(content, sequence));
            }
        };
    }

    /** Guards against a watch that ends for good with an unforeseen exception, since only a response leads to the next. */
    @Test
    void watchGoesOnAfterAnExceptionInItsCallback() {
        run(2);
        requestCycle = () -> {
            requestCycle = () -> {};
            throw new IllegalStateException("expected test failure");
        };
        putInStore(StoreKeys.shard("g-1"), TestFixtures.shard("vm-000001"));
        // The event loop of a real process logs an exception and goes on.
        Throwable thrown = catchThrowable(() -> run(3));
        putInStore(StoreKeys.shard("g-2"), TestFixtures.shard("vm-000002"));
        run(12);
        assertThat(clusterState.shard("g-2")).isNotNull();
        assertThat(replicatedState.canCommit()).isTrue();
        assertThat(thrown).isNull();
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
        assertThat(restartedState.fencingToken()).isPositive();
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
        clusterState.put(StoreKeys.LEADER, TestFixtures.PEER, clusterState.watchedRevision() + 1_000_000);
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
        assertThat(clusterState.fencingToken()).isEqualTo(1);
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
        assertThat(clusterState.fencingToken()).isEqualTo(applied ? 1 : 0);
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
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS).revokeLease(1, outcome -> {});
        int millisWithValidLease = 0;
        int millisBehind = 0;
        for (int i = 0; i < 6000; i++) {
            time.runUntil(time.now().plusMillis(1));
            boolean watchHasReachedJoin =
                    clusterState.watchedRevision() >= clusterState.version(StoreKeys.member(TestFixtures.SELF.node()));
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
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS).revokeLease(1, outcome -> {});
        // Revision 1 is the join, 2 the transaction and 3 the revocation, so a higher version means a second join.
        for (int i = 0;
                i < 2500
                        && !(clusterState.version(StoreKeys.member(TestFixtures.SELF.node())) > 3
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
