package org.gullway.coordination.cancellation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.protocol.Count;
import org.gullway.protocol.Heartbeat;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskStatus;
import org.junit.jupiter.api.Test;

class LeaseRenewalPolicyTest {
    private final ClusterState clusterState = TestFixtures.clusterState();
    private final LeaseRenewalPolicy leaseRenewal = new LeaseRenewalPolicy(
            clusterState,
            TestFixtures.SELF,
            new CancellationEnforcer(clusterState, Duration.ofSeconds(40)),
            Duration.ofSeconds(40),
            Duration.ofSeconds(20));
    private Instant now = Instant.EPOCH;

    LeaseRenewalPolicyTest() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), 10);
        TestFixtures.put(clusterState, TestFixtures.machine("vm-2", "large", TestFixtures.PEER), 11);
    }

    private static Heartbeat heartbeat(String machine, long agentEpoch, long fencingToken, TaskStatus... tasks) {
        return new Heartbeat(
                machine,
                "10.1.0.1:9000",
                "large",
                "a",
                true,
                Count.of(agentEpoch),
                Count.ONE,
                Count.of(fencingToken),
                null,
                List.of(tasks));
    }

    /** The agent must try the other controllers first: one that holds a valid lease can give it tasks. */
    @Test
    void renewsAnAgentOfAnAssignedMachineThatReturnsAfterARejection() {
        leaseRenewal.onExternalContact(now.plusSeconds(10));
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-1", 1, 1), now))
                .isFalse();
        now = now.plusSeconds(11);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-1", 1, 1), now))
                .isTrue();
        now = now.plusSeconds(5);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-1", 1, 1), now))
                .isTrue();
        leaseRenewal.reset();
        leaseRenewal.onExternalContact(now.minusSeconds(2));
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-1", 1, 1), now))
                .isFalse();
    }

    /** In a partitioned zone no other controller is reachable, and trying them takes much of the lease. */
    @Test
    void renewsEveryAgentWithoutExternalContact() {
        leaseRenewal.onExternalContact(now);
        now = now.plusSeconds(3);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-1", 1, 1), now))
                .isTrue();
    }

    @Test
    void renewsAnAgentWhoseMachineAnotherControllerCommands() {
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1), now))
                .isTrue();
    }

    /**
     * The agent would drop a response with a lower fencing token and stay with this controller until its lease
     * expires.
     */
    @Test
    void rejectsAnAgentThatKnowsAHigherFencingToken() {
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 2), now))
                .isFalse();
    }

    @Test
    void rejectsUnknownMachinesOtherAgentEpochsAndLostMachines() {
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-9", 1, 1), now))
                .isFalse();
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 2, 1), now))
                .isFalse();
        TestFixtures.put(
                clusterState,
                TestFixtures.machine("vm-2", "large", TestFixtures.PEER)
                        .withLifecycle(MachineRecord.MachineLifecycle.LOST),
                12);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1), now))
                .isFalse();
    }

    /**
     * Only lease expiry ends a cancelled task whose start may still arrive, since a stop could arrive before the
     * start.
     */
    @Test
    void rejectsMachinesOnWhichACancelledTaskMayStillStart() {
        JobRequest request = TestFixtures.request("run-000001", "red", Priority.NORMAL, 1, 4);
        JobRecord job = TestFixtures.placed(
                JobRecord.accepted(request, "perch-0", TestFixtures.WALL_CLOCK_TIME),
                TestFixtures.WALL_CLOCK_TIME,
                "vm-2");
        clusterState.put(StoreKeys.job(request.id()), job, Count.of(20));
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1), now))
                .isTrue();
        clusterState.put(StoreKeys.job(request.id()), job.withCancellation(TestFixtures.WALL_CLOCK_TIME), Count.of(21));
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1), now))
                .isFalse();
        TaskStatus otherAttempt =
                new TaskStatus(new TaskId(request.id(), 0), Count.of(9), TaskStatus.Phase.RUNNING, null, false);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1, otherAttempt), now))
                .as("only another attempt is listed")
                .isFalse();
        TaskStatus listed =
                new TaskStatus(new TaskId(request.id(), 0), Count.ONE, TaskStatus.Phase.RUNNING, null, false);
        assertThat(leaseRenewal.mayRenewDuringOutage(heartbeat("vm-2", 1, 1, listed), now))
                .as("the response stops the listed attempt")
                .isTrue();
    }

    /**
     * A lease of 20 s that is renewed at the last allowed time expires within 40 s of the watermark, with clocks that
     * drift by 0.05% in opposite directions. So a task of a job that was cancelled after the watermark, unknown to
     * this controller, ends within its limit of 40 s.
     */
    @Property(seed = "31")
    void noRenewedLeaseOutlastsTheLimitOfAnUnknownCancellation(
            @ForAll @IntRange(max = 20_000) int knownMillis, @ForAll @IntRange(max = 60_000) int laterMillis) {
        Instant knownThrough = now.plusMillis(knownMillis);
        Instant at = knownThrough.plusMillis(laterMillis);
        double drift = 1.0005 / 0.9995;
        boolean endsInTime = (laterMillis + 20_000) * drift < 40_000;
        assertThat(leaseRenewal.mayRenew(knownThrough, at)).isEqualTo(laterMillis < 19_670);
        assertThat(leaseRenewal.mayRenew(knownThrough, at) && !endsInTime).isFalse();
    }

    @Test
    void renewsNothingBeforeTheWatermarkIsKnown() {
        assertThat(leaseRenewal.mayRenew(Instant.MIN, now)).isFalse();
    }
}
