package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Rank;
import org.gullway.protocol.TaskId;
import org.gullway.protocol.TaskReport;
import org.gullway.protocol.WorkerReport;
import org.junit.jupiter.api.Test;

class LeaseRenewalPolicyTest {
    private final ClusterView view = Samples.view();
    private final LeaseRenewalPolicy leases = new LeaseRenewalPolicy(
            view,
            Samples.SELF,
            new CancelledTasks(view, Duration.ofSeconds(40)),
            Duration.ofSeconds(40),
            Duration.ofSeconds(20));
    private Instant now = Instant.EPOCH;

    LeaseRenewalPolicyTest() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER), 11);
    }

    private static WorkerReport report(String machine, long session, long token, TaskReport... tasks) {
        return new WorkerReport(machine, "10.1.0.1:9000", "large", "a", true, session, 1, token, null, List.of(tasks));
    }

    /** First it has to look elsewhere: if others are entitled they have its work to do. */
    @Test
    void keepsAWorkerOfItsOwnThatComesBack() {
        leases.outsideHeard(now.plusSeconds(10));
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isFalse();
        now = now.plusSeconds(11);
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isTrue();
        now = now.plusSeconds(5);
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isTrue();
        leases.forget();
        leases.outsideHeard(now.minusSeconds(2));
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isFalse();
    }

    /** In a zone that is cut off there is nobody else, and to ask around takes ten of the seconds that are left. */
    @Test
    void keepsEveryWorkerWhileNothingFromOutsideIsHeard() {
        leases.outsideHeard(now);
        now = now.plusSeconds(3);
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isTrue();
    }

    @Test
    void keepsAWorkerThatCannotReachItsOwnController() {
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isTrue();
    }

    /** An answer under an older epoch would be dropped, and the worker would stay until its lease ends. */
    @Test
    void refusesAWorkerThatHasAnotherCommanderByNow() {
        assertThat(leases.keeps(report("vm-2", 1, 2), now)).isFalse();
    }

    @Test
    void refusesUnknownMachinesOtherSessionsAndMachinesGivenUp() {
        assertThat(leases.keeps(report("vm-9", 1, 1), now)).isFalse();
        assertThat(leases.keeps(report("vm-2", 2, 1), now)).isFalse();
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER).meant(MachineRecord.Disposition.LOST), 12);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isFalse();
    }

    /** The lease is the last that ends a cancelled task whose start may still be on its way: no stop would reach it. */
    @Test
    void refusesMachinesOnWhichACancelledTaskMayYetBegin() {
        JobRequest request = Samples.request("run-000001", "red", Rank.NORMAL, 1, 4);
        JobRecord job = Samples.placed(JobRecord.accepted(request, "perch-0", Samples.DAY), Samples.DAY, "vm-2");
        view.put(Keys.job(request.id()), job, 20);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isTrue();
        view.put(Keys.job(request.id()), job.cancel(Samples.DAY), 21);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isFalse();
        TaskReport other = new TaskReport(new TaskId(request.id(), 0), 9, TaskReport.Phase.RUNNING, null, false);
        assertThat(leases.keeps(report("vm-2", 1, 1, other), now))
                .as("only another attempt is there")
                .isFalse();
        TaskReport there = new TaskReport(new TaskId(request.id(), 0), 1, TaskReport.Phase.RUNNING, null, false);
        assertThat(leases.keeps(report("vm-2", 1, 1, there), now))
                .as("the answer stops it")
                .isTrue();
    }

    /**
     * A lease of 20 s that is renewed at the very end is over before 40 s have passed since the last knowledge, by
     * clocks that drift apart by 0.05%: what was cancelled since, unknown here, has its 40 s (the operators' day "gap").
     */
    @Property(seed = "31")
    void noLeaseThatIsRenewedOutlastsTheLimitOfACancellationThatIsNotKnown(
            @ForAll @IntRange(max = 20_000) int known, @ForAll @IntRange(max = 60_000) int later) {
        Instant knownUntil = now.plusMillis(known);
        Instant at = knownUntil.plusMillis(later);
        double drift = 1.0005 / 0.9995;
        boolean endsInTime = (later + 20_000) * drift < 40_000;
        assertThat(leases.mayRenew(knownUntil, at)).isEqualTo(later < 19_670);
        assertThat(leases.mayRenew(knownUntil, at) && !endsInTime).isFalse();
    }

    @Test
    void renewsNothingBeforeAnythingIsKnown() {
        assertThat(leases.mayRenew(Instant.MIN, now)).isFalse();
    }
}
