package org.gullway.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.gullway.api.JobAdmission;
import org.gullway.api.UserApi;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.fake.FakeStateStore;
import org.gullway.fake.SimulatedNetwork;
import org.gullway.fake.SimulatedTime;
import org.gullway.observability.Metrics;
import org.gullway.protocol.Count;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.HttpClient;
import org.junit.jupiter.api.Test;

/** Runs scheduling cycles of one controller against a simulated state store. */
class SchedulingCycleTest {
    private static final String STORE_ADDRESS = "10.2.0.1:2379";
    private static final Duration CYCLE_INTERVAL = Duration.ofMillis(50);
    private static final InstantSource WALL_CLOCK = InstantSource.fixed(TestFixtures.WALL_CLOCK_TIME);

    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final SimulatedNetwork network = new SimulatedNetwork(time, new SplittableRandom(3), 0);
    private final FakeStateStore store = new FakeStateStore(loop);
    private final ClusterState clusterState = new ClusterState();
    private final ReplicatedState replicatedState;
    private final SchedulingCycle cycle;

    SchedulingCycleTest() {
        network.listen(STORE_ADDRESS, loop, store::handle);
        ControllerEnvironment environment = environment(network.client(TestFixtures.SELF.node(), loop));
        replicatedState = ReplicatedStateFactory.create(environment);
        cycle = new SchedulingCycle(
                environment, replicatedState, new CompletionBuffer(clusterState), userApi(), new Metrics());
    }

    private ControllerEnvironment environment(HttpClient httpClient) {
        return new ControllerEnvironment(
                settings(),
                OperatorSettings.DEFAULTS,
                loop,
                httpClient,
                WALL_CLOCK,
                TestFixtures.SELF,
                clusterState,
                () -> {});
    }

    private static Settings settings() {
        return new Settings(
                TestFixtures.SELF.node(),
                "a",
                "10.0.0.1:8080",
                "10.0.0.1:8081",
                List.of(),
                "10.2.0.2:8443",
                STORE_ADDRESS,
                Map.of(),
                List.of(),
                Duration.ofSeconds(3),
                Duration.ofSeconds(20),
                Duration.ofSeconds(40),
                150,
                FakeStateStore.MAX_CHANGES_PER_SECOND,
                FakeStateStore.MAX_VALUE_BYTES,
                FakeStateStore.MAX_CHANGES_PER_COMMIT,
                10,
                Duration.ofSeconds(3),
                1000);
    }

    private UserApi userApi() {
        MachineTypeCatalog machineTypes = new MachineTypeCatalog();
        return new UserApi(
                loop,
                clusterState,
                replicatedState,
                new JobAdmission(
                        machineTypes,
                        new JobFeasibility(
                                machineTypes,
                                TestFixtures.quotas(),
                                new RecordCapacity(
                                        clusterState,
                                        TestFixtures.LIMITS.valueBytes(),
                                        () -> TestFixtures.WALL_CLOCK_TIME)),
                        new SplittableRandom(4)),
                new Metrics(),
                FakeStateStore.MAX_CHANGES_PER_COMMIT,
                new CancellationEnforcer(clusterState, Duration.ofSeconds(40)),
                violation -> {},
                () -> {});
    }

    private void run(Duration duration) {
        replicatedState.start();
        loop.every(CYCLE_INTERVAL, () -> {
            if (replicatedState.canCommit()) {
                cycle.run(loop.now());
            }
        });
        time.runUntil(time.now().plus(duration));
    }

    /**
     * Guards against one change that cannot be encoded and keeps all other changes from being committed, as it would
     * in a transaction that contains the changes of all steps.
     */
    @Test
    void changesOfOtherStepsAreCommittedWhileThoseOfOneStepCannotBeEncoded() {
        cycle.addStep("before", (transaction, context) -> {
                    if (clusterState.job("run-000001") == null) {
                        transaction.put(StoreKeys.job("run-000001"), TestFixtures.job("run-000001"));
                    }
                })
                .addStep(
                        "not_encodable",
                        (transaction, context) ->
                                transaction.put(StoreKeys.job("run-000002"), TestFixtures.unencodableJob("run-000002")))
                .addStep("after", (transaction, context) -> transaction.nextFencingToken());
        run(Duration.ofSeconds(20));
        assertThat(store.value(StoreKeys.job("run-000001"))).isNotNull();
        assertThat(store.value(StoreKeys.job("run-000002"))).isNull();
        assertThat(clusterState.fencingToken())
                .as("transactions of the last step in 20 s")
                .isGreaterThan(Count.of(10));
    }
}
