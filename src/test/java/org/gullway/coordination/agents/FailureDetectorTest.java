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
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Reports are due every 4 s: late after 7 s, given up after 12 s, in a cut zone after 52 s, all alike after 28 s. */
class FailureDetectorTest {
    private final ClusterState clusterState = TestFixtures.view();
    private final AgentRegistry agents = new AgentRegistry(clusterState, TestFixtures.SELF);
    private final FailureDetector detector =
            new FailureDetector(clusterState, Duration.ofSeconds(4), TestFixtures.NEIGHBOURS, agents);
    private Instant now = Instant.EPOCH;
    private long sequence;
    private long revision = 100;

    FailureDetectorTest() {
        detector.onLeaseStatus(true, now);
    }

    private void machine(String name, String zone) {
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
                        1,
                        1,
                        MachineLifecycle.ACTIVE,
                        machine.provisionedAt()),
                ++revision);
        agents.getOrCreate(name, now);
    }

    private void hear(String... names) {
        for (String name : names) {
            agents.find(name)
                    .onHeartbeat(
                            new Heartbeat(
                                    name, "10.1.0.1:9000", "large", "a", false, 1, ++sequence, 1, null, List.of()),
                            now);
        }
    }

    /** Seconds pass in which only these are heard. */
    private void pass(int seconds, String... heard) {
        for (int i = 0; i < seconds; i++) {
            now = now.plusSeconds(1);
            hear(heard);
            Transaction transaction =
                    new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.DAY);
            detector.plan(transaction, now);
            TestFixtures.commit(clusterState, transaction, ++revision);
        }
    }

    private MachineLifecycle fate(String name) {
        return clusterState.machine(name).lifecycle();
    }

    /** Once, the leader booked urgent tasks on silent machines until these were given up (senderos-altos-fleet zone). */
    @Test
    void aMachineThatMissedAReportTakesNoTasksUntilItIsHeard() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        assertThat(clusterState.machine("vm-2").isSchedulable()).isFalse();
        pass(1, "vm-1", "vm-2");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        pass(13, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.LOST);
    }

    @Test
    void allSilentAtOnceAreNotGivenUpSoFast() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(27);
        assertThat(List.of(fate("vm-1"), fate("vm-2"))).containsOnly(MachineLifecycle.UNRESPONSIVE);
        pass(2);
        assertThat(List.of(fate("vm-1"), fate("vm-2"))).containsOnly(MachineLifecycle.LOST);
    }

    /** perch-2 is the only controller of zone b and not a member: it may keep the work there alive. */
    @Test
    void aZoneThatIsCutOffWithItsControllerIsWaitedFor() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        machine("vm-3", "b");
        pass(50, "vm-1");
        assertThat(List.of(fate("vm-2"), fate("vm-3"))).containsOnly(MachineLifecycle.UNRESPONSIVE);
        pass(4, "vm-1");
        assertThat(List.of(fate("vm-2"), fate("vm-3"))).as("not for ever").containsOnly(MachineLifecycle.LOST);
    }

    @Test
    void oneMachineHeardShowsThatTheZoneIsNotCutOff() {
        machine("vm-2", "b");
        machine("vm-3", "b");
        pass(14, "vm-2");
        assertThat(fate("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /** Groups of the controller that is cut off are taken over at the same time; nothing is heard of those either. */
    @Test
    void aMachineThatWasJustTakenOverIsNoSignOfLife() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        pass(8, "vm-1");
        machine("vm-3", "b");
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
    }

    @Test
    void aZoneWhoseControllerIsAMemberIsNotCutOff() {
        clusterState.put(StoreKeys.member("perch-2"), new Incarnation("perch-2", 5), ++revision);
        machine("vm-1", "a");
        machine("vm-3", "b");
        pass(14, "vm-1");
        assertThat(fate("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /** Its tasks must be gone in time, and only the cloud can end them there. */
    @Test
    void aMachineWithACancelledTaskIsGivenUpAlsoInAZoneThatIsCutOff() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        machine("vm-3", "b");
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        clusterState.put(
                StoreKeys.job(request.id()),
                TestFixtures.placed(JobRecord.accepted(request, "perch-0", TestFixtures.DAY), TestFixtures.DAY, "vm-3")
                        .withCancellation(TestFixtures.DAY),
                ++revision);
        pass(14, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        assertThat(fate("vm-3")).isEqualTo(MachineLifecycle.LOST);
    }

    /** A controller that was not entitled has refused reports: it has to listen again first. */
    @Test
    void silenceBeforeReportsAreTakenSaysNothing() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        detector.onLeaseStatus(false, now);
        pass(20);
        detector.onLeaseStatus(true, now);
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        pass(4, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
    }

    /** Its commands are answered, so it is not silent; but no lease is renewed, and all that is placed there is lost. */
    @Test
    void aMachineWhoseReportsReachNobodyTakesNoTasks() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(8, "vm-1", "vm-2");
        agents.find("vm-2").onCommandResponse(report("vm-2", 1), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
        agents.find("vm-2").onCommandResponse(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2").onCommandResponse(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2"))
                .as("answers do not show that it reaches anybody")
                .isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2")
                .onHeartbeat(
                        new Heartbeat("vm-2", "10.1.0.1:9000", "large", "a", false, 1, 1, 1, null, List.of()), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).as("nor does an old copy").isEqualTo(MachineLifecycle.UNRESPONSIVE);
        agents.find("vm-2").onHeartbeat(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(MachineLifecycle.ACTIVE);
    }

    private Heartbeat report(String name, long agentEpoch) {
        return new Heartbeat(name, "10.1.0.1:9000", "large", "a", false, agentEpoch, ++sequence, 1, null, List.of());
    }
}
