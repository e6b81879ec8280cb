package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Rank;
import org.gullway.protocol.WorkerReport;
import org.junit.jupiter.api.Test;

class LeaseKeeperTest {
    private final ClusterView view = Samples.view();
    private final LeaseKeeper leases = new LeaseKeeper(view, Samples.SELF, Duration.ofSeconds(40));
    private Instant now = Instant.EPOCH;

    LeaseKeeperTest() {
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), 10);
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER), 11);
    }

    private static WorkerReport report(String machine, long session, long token) {
        return new WorkerReport(machine, "10.1.0.1:9000", "large", "a", true, session, 1, token, null, List.of());
    }

    /** First it has to look elsewhere: if others are entitled they have its work to do. */
    @Test
    void keepsAWorkerOfItsOwnThatComesBack() {
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isFalse();
        now = now.plusSeconds(11);
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isTrue();
        now = now.plusSeconds(5);
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isTrue();
        leases.forget();
        assertThat(leases.keeps(report("vm-1", 1, 1), now)).isFalse();
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
        Samples.put(view, Samples.machine("vm-2", "large", Samples.PEER).meant(MachineRecord.Fate.LOST), 12);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isFalse();
    }

    /** The lease is the last that ends a cancelled task which nobody can reach. */
    @Test
    void refusesMachinesWithCancelledTasks() {
        JobRequest request = Samples.request("run-000001", "red", Rank.NORMAL, 1, 4);
        JobRecord job = Samples.placed(JobRecord.accepted(request, "perch-0", Samples.DAY), Samples.DAY, "vm-2");
        view.put(Keys.job(request.id()), job, 20);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isTrue();
        view.put(Keys.job(request.id()), job.cancel(), 21);
        assertThat(leases.keeps(report("vm-2", 1, 1), now)).isFalse();
    }

    @Test
    void endsWhenTheOthersGiveTheMachinesUp() {
        assertThat(leases.active(Instant.MIN, now)).as("never entitled, as after a restart").isFalse();
        assertThat(leases.active(now, now.plusSeconds(39))).isTrue();
        assertThat(leases.active(now, now.plusSeconds(40))).isFalse();
    }
}
