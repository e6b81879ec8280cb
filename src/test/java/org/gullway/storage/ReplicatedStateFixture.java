package org.gullway.storage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.gullway.coordination.membership.Membership;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.protocol.Count;

/** One controller's replicated state, which has joined and is connected to a simulated state store. */
class ReplicatedStateFixture {
    static final String STORE_ADDRESS = "10.2.0.1:2379";
    final SimulatedTime time = new SimulatedTime();
    final SimulatedTime.SimulatedProcess storeProcess = time.newProcess();
    final SimulatedTime.SimulatedProcess controllerProcess = time.newProcess();
    final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(2), 0);
    final FakeStateStore store = new FakeStateStore(storeProcess);
    final ClusterState clusterState = new ClusterState();
    final List<String> storeRequests = new ArrayList<>();
    final ReplicatedState replicatedState;
    Runnable requestCycle = () -> {};

    ReplicatedStateFixture() {
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

    void run(int seconds) {
        time.runUntil(time.now().plusSeconds(seconds));
    }

    Transaction fencingTokenTransaction() {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        transaction.nextFencingToken();
        return transaction;
    }

    void putInStore(String key, StoreRecord value) {
        new StateStoreClient(network.client("other", storeProcess), STORE_ADDRESS)
                .commit(Set.of(), k -> Count.ZERO, Map.of(key, value), Count.ZERO, outcome -> {});
    }

    /** Starts another process of this controller and returns its cluster state after some seconds. */
    ClusterState restart() {
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
}
