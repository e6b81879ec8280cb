package org.gullway.coordination.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.gullway.protocol.ResourceOffer;
import org.junit.jupiter.api.Test;

class PeerOffersTest {
    private final ClusterState clusterState = TestFixtures.clusterState();
    private final SchedulingContext context = new SchedulingContext(
            clusterState,
            TestFixtures.constraints(),
            TestFixtures.quotas(),
            new JobBackoff(),
            new DeadlinePolicy(List.of()));
    private final BestEffortQueue bestEffortQueue = newQueue("perch-0", 1);
    private final MachineRecord machine = TestFixtures.machine("vm-1", "small", TestFixtures.SELF);

    PeerOffersTest() {
        TestFixtures.put(clusterState, machine, 10);
    }

    private BestEffortQueue newQueue(String node, long seed) {
        return new BestEffortQueue(
                context,
                new ScavengerScheduler(context, 0.5),
                node,
                Duration.ofSeconds(3),
                new SplittableRandom(seed),
                List::of,
                unused -> {});
    }

    private Transaction newTransaction() {
        return new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
    }

    @Test
    void unusedResourcesAreOfferedToAPeerAndUsedThere() {
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 2, 4),
                        "perch-1",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(5)),
                Count.of(11));
        Transaction transaction = newTransaction();
        List<BestEffortQueue.OutgoingOffers> offers =
                bestEffortQueue.schedule(transaction, () -> List.of(machine), Instant.EPOCH);
        assertThat(transaction.isEmpty()).isTrue();
        assertThat(offers)
                .containsExactly(new BestEffortQueue.OutgoingOffers(
                        "perch-1", List.of(new ResourceOffer("vm-1", Count.ONE, List.of("perch-0")))));

        BestEffortQueue peer = newQueue("perch-1", 2);
        peer.onOffers(offers.get(0).offers(), Instant.EPOCH);
        Transaction peerTransaction =
                new Transaction(clusterState, TestFixtures.PEER, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        peer.schedule(peerTransaction, List::of, Instant.EPOCH);
        assertThat(peerTransaction.job("run-000001").livePlacements()).hasSize(2);
        assertThat(peerTransaction.conditions()).contains(StoreKeys.member("perch-1"), StoreKeys.job("run-000001"));
    }

    /** Leaves this many of the machine's 16 CPUs free, while a job of a peer with tasks of this size waits. */
    private List<BestEffortQueue.OutgoingOffers> offersOf(double freeCpus, double waitingTaskCpus) {
        JobRecord running = JobRecord.accepted(
                TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 16 - freeCpus),
                "perch-0",
                TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job("run-000001"),
                TestFixtures.placed(running, TestFixtures.WALL_CLOCK_TIME, "vm-1"),
                Count.of(11));
        clusterState.put(
                StoreKeys.job("run-000002"),
                JobRecord.accepted(
                        TestFixtures.request("run-000002", "red", Priority.NORMAL, 1, waitingTaskCpus),
                        "perch-1",
                        TestFixtures.WALL_CLOCK_TIME),
                Count.of(12));
        return bestEffortQueue.schedule(newTransaction(), () -> List.of(machine), Instant.EPOCH);
    }

    /** Guards against small tasks that wait for room that counts as free but is never offered to their owner. */
    @Test
    void aFractionOfACpuIsOfferedIfASmallTaskOfAPeerFits() {
        assertThat(offersOf(0.8, 0.15)).hasSize(1);
    }

    @Test
    void resourcesTooSmallForTheTasksOfPeersAreNotOffered() {
        assertThat(offersOf(2, 4)).isEmpty();
    }

    /** Guards against a large task that waits because the same machines fill every message, and its machine never. */
    @Test
    void machinesThatDoNotFitIntoOneMessageAreOfferedInLaterRounds() {
        clusterState.put(
                StoreKeys.job("run-000001"),
                JobRecord.accepted(
                        TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4),
                        "perch-1",
                        TestFixtures.WALL_CLOCK_TIME),
                Count.of(11));
        List<MachineRecord> machines = new ArrayList<>();
        for (int i = 0; i < 5 * ResourceOffer.MAX_PER_MESSAGE; i++) {
            MachineRecord next = TestFixtures.machine("vm-" + (1000 + i), "small", TestFixtures.SELF);
            TestFixtures.put(clusterState, next, 20 + i);
            machines.add(next);
        }
        Set<String> offered = new HashSet<>();
        for (int round = 0; round < 10; round++) {
            Instant now = Instant.EPOCH.plusSeconds(round);
            bestEffortQueue.schedule(newTransaction(), () -> machines, now).forEach(outgoing -> outgoing.offers()
                    .forEach(offer -> offered.add(offer.machine())));
        }
        assertThat(offered).hasSize(machines.size());
    }
}
