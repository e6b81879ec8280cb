package org.gullway.agent;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.fake.SimulatedTime;
import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.Metrics;
import org.gullway.protocol.Count;
import org.gullway.protocol.PeerCancellations.CancelledAttempt;
import org.gullway.protocol.PeerCancellations.CancelledJob;
import org.gullway.transport.HttpResponse;
import org.junit.jupiter.api.Test;

class CommandSenderTest {
    private static final String UNENCODABLE_ID = "run-\uD83D";

    private final ClusterState clusterState = TestFixtures.clusterState();
    private final SimulatedTime time = new SimulatedTime();
    private final SimulatedTime.SimulatedProcess loop = time.newProcess();
    private final Metrics metrics = new Metrics();
    private final List<String> calledAddresses = new ArrayList<>();
    private final CancellationEnforcer cancellationEnforcer =
            new CancellationEnforcer(clusterState, Duration.ofSeconds(40));
    private final CommandSender sender = new CommandSender(
            loop,
            (address, request, callback) -> {
                calledAddresses.add(address);
                callback.accept(HttpResponse.notSent());
            },
            new AgentReconciler(
                    clusterState,
                    TestFixtures.SELF,
                    Duration.ofSeconds(3),
                    TestFixtures.NETWORK_PARTITION_SETTINGS,
                    new CompletionBuffer(clusterState),
                    cancellationEnforcer),
            cancellationEnforcer,
            new StartAuthorization(clusterState, TestFixtures.SELF),
            () -> false,
            new InvariantMonitor(metrics),
            metrics,
            () -> {});

    private void addMachine(String name, String address, long version) {
        TestFixtures.put(
                clusterState,
                TestFixtures.machine(name, "large", TestFixtures.SELF).withAgentEpoch(Count.ONE, address),
                version);
    }

    private void addCancellation(String job, String machine) {
        CancelledAttempt attempt = new CancelledAttempt(0, Count.ONE, machine, Count.ONE);
        long cancelledAt = TestFixtures.WALL_CLOCK_TIME.toEpochMilli();
        cancellationEnforcer.add(new CancelledJob(job, cancelledAt, List.of(attempt)), loop.now());
    }

    private Throwable sendCancellationStops() {
        time.advance(Duration.ofSeconds(2));
        // The event loop of a real process logs an exception and goes on.
        return catchThrowable(() -> sender.sendCancellationStops(loop.now()));
    }

    /**
     * Guards against stops that are never sent: the exception of a batch that cannot be encoded kept the batches to
     * other machines from being sent, and all of them counted as in flight for good.
     */
    @Test
    void batchThatCannotBeEncodedDoesNotBlockStopsOnOtherMachines() {
        for (int machine = 1; machine <= 4; machine++) {
            addMachine("vm-" + machine, "10.1.0." + machine + ":9000", 10 + machine);
        }
        addCancellation(UNENCODABLE_ID, "vm-1");
        addCancellation("run-000002", "vm-2");
        addCancellation(UNENCODABLE_ID + "0", "vm-3");
        addCancellation("run-000004", "vm-4");
        List<Throwable> thrown = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            thrown.add(sendCancellationStops());
        }
        assertThat(calledAddresses).hasSize(40).containsOnly("10.1.0.2:9000", "10.1.0.4:9000");
        assertThat(thrown).containsOnlyNulls();
    }
}
