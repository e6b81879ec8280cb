package org.gullway.coordination.agents;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineRecord.MachineLifecycle;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/**
 * The heartbeat interval is 4 s. A machine is unresponsive 7 s after its last heartbeat and lost after 12 s. It is
 * lost after 52 s in a partitioned zone, and after 28 s if no machine is responsive.
 */
class FailureDetectorTest {
    private final ClusterState clusterState = TestFixtures.clusterState();
    private final AgentRegistry agents = new AgentRegistry(clusterState, TestFixtures.SELF);
    private final FailureDetector detector = new FailureDetector(
            clusterState, new HeartbeatTiming(Duration.ofSeconds(4)), TestFixtures.NETWORK_PARTITION_SETTINGS, agents);
    private Instant now = Instant.EPOCH;
    private long sequence;
    private long revision = 100;

    FailureDetectorTest() {
        detector.onLeaseStatus(true, now);
    }

    private void addMachine(String name, String zone) {
        MachineRecord machine = TestFixtures.machine(name, "large", TestFixtures.SELF);
        TestFixtures.put(
                clusterState,
                new MachineRecord(
                        name,
                        machine.address(),
                        machine.type(),
                        zone,
                        false,
                        TestFixtures.SELF,
                        Count.ONE,
                        Count.ONE,
                        MachineLifecycle.ACTIVE,
                        machine.provisionedAt()),
                ++revision);
        agents.getOrCreate(name, now);
    }

    private void sendHeartbeats(String... names) {
        for (String name : names) {
            agents.find(name).onHeartbeat(heartbeat(name, 1), now);
        }
    }

    /** Advances the time in steps of one second, in which only these machines send heartbeats. */
    private void advanceSeconds(int seconds, String... responsive) {
        for (int i = 0; i < seconds; i++) {
            now = now.plusSeconds(1);
            sendHeartbeats(responsive);
            Transaction transaction =
                    new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
            detector.plan(transaction, now);
            TestFixtures.commit(clusterState, transaction, ++revision);
        }
    }

    private MachineLifecycle lifecycle(String name) {
        return clusterState.machine(name).lifecycle();
    }

    /** The leader must not place reserved tasks on a machine that is likely to be declared lost. */
    @Test
    void aMachineWithAnOverdueHeartbeatIsNotSchedulableUntilTheNextOne() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "a");
        advanceSeconds(7, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        assertThat(clusterState.machine("vm-2").isSchedulable()).isFalse();
        advanceSeconds(1, "vm-1", "vm-2");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        advanceSeconds(13, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.LOST);
    }

    @Test
    void machinesAreDeclaredLostLaterIfNoneIsResponsive() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "a");
        advanceSeconds(27);
        assertThat(List.of(lifecycle("vm-1"), lifecycle("vm-2"))).containsOnly(MachineLifecycle.UNRESPONSIVE);
        advanceSeconds(2);
        assertThat(List.of(lifecycle("vm-1"), lifecycle("vm-2"))).containsOnly(MachineLifecycle.LOST);
    }

    /** perch-2 is the only controller of zone b and not a member, so it may still renew the leases there. */
    @Test
    void machinesInAPartitionedZoneAreDeclaredLostLater() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "b");
        addMachine("vm-3", "b");
        advanceSeconds(50, "vm-1");
        assertThat(List.of(lifecycle("vm-2"), lifecycle("vm-3"))).containsOnly(MachineLifecycle.UNRESPONSIVE);
        advanceSeconds(4, "vm-1");
        assertThat(List.of(lifecycle("vm-2"), lifecycle("vm-3")))
                .as("the cancellation limit ends the deferral")
                .containsOnly(MachineLifecycle.LOST);
    }

    @Test
    void aZoneWithAResponsiveMachineIsNotPartitioned() {
        addMachine("vm-2", "b");
        addMachine("vm-3", "b");
        advanceSeconds(14, "vm-2");
        assertThat(lifecycle("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /**
     * While a zone is partitioned, shards of its controller are taken over. Their machines, which have not sent a
     * heartbeat to the new controller yet, must not make the zone count as responsive.
     */
    @Test
    void aMachineTakenOverWithoutAHeartbeatDoesNotMakeItsZoneResponsive() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "b");
        advanceSeconds(8, "vm-1");
        addMachine("vm-3", "b");
        advanceSeconds(7, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
    }

    @Test
    void aZoneWhoseControllerIsAMemberIsNotPartitioned() {
        clusterState.put(StoreKeys.member("perch-2"), new Incarnation("perch-2", 5), Count.of(++revision));
        addMachine("vm-1", "a");
        addMachine("vm-3", "b");
        advanceSeconds(14, "vm-1");
        assertThat(lifecycle("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /** Cancelled tasks must end within the limit, and in a partitioned zone only the cloud provider can end them. */
    @Test
    void aMachineWithACancelledTaskIsDeclaredLostEvenInAPartitionedZone() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "b");
        addMachine("vm-3", "b");
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        clusterState.put(
                StoreKeys.job(request.id()),
                TestFixtures.placed(
                                JobRecord.accepted(request, "perch-0", TestFixtures.WALL_CLOCK_TIME),
                                TestFixtures.WALL_CLOCK_TIME,
                                "vm-3")
                        .withCancellation(TestFixtures.WALL_CLOCK_TIME),
                Count.of(++revision));
        advanceSeconds(14, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        assertThat(lifecycle("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /**
     * A controller without a valid lease refuses heartbeats. After it has regained the lease, it must wait for new
     * heartbeats before it calls a machine unresponsive.
     */
    @Test
    void heartbeatsRefusedWithoutAValidLeaseDoNotCountAsMissing() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "a");
        detector.onLeaseStatus(false, now);
        advanceSeconds(20);
        detector.onLeaseStatus(true, now);
        advanceSeconds(7, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        advanceSeconds(4, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
    }

    /**
     * The agent answers commands but its lease is not renewed, so tasks placed on the machine would end with the
     * lease.
     */
    @Test
    void aMachineWithAnOutboundPartitionIsUnresponsive() {
        addMachine("vm-1", "a");
        addMachine("vm-2", "a");
        advanceSeconds(8, "vm-1", "vm-2");
        agents.find("vm-2").onCommandResponse(heartbeat("vm-2", 1), now);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        agents.find("vm-2").onCommandResponse(heartbeat("vm-2", 2), now);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2").onCommandResponse(heartbeat("vm-2", 2), now);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2"))
                .as("responses to commands do not show that its heartbeats arrive")
                .isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2")
                .onHeartbeat(
                        new Heartbeat(
                                "vm-2",
                                "10.1.0.1:9000",
                                "large",
                                "a",
                                false,
                                Count.ONE,
                                Count.ONE,
                                Count.ONE,
                                null,
                                List.of()),
                        now);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2"))
                .as("an old duplicate of a heartbeat does not show that heartbeats arrive")
                .isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2").onHeartbeat(heartbeat("vm-2", 2), now);
        advanceSeconds(1, "vm-1");
        assertThat(lifecycle("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
    }

    private Heartbeat heartbeat(String name, long agentEpoch) {
        return new Heartbeat(
                name,
                "10.1.0.1:9000",
                "large",
                "a",
                false,
                Count.of(agentEpoch),
                Count.of(++sequence),
                Count.ONE,
                null,
                List.of());
    }
}
