package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.MachineRecord.Disposition;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Rank;
import org.gullway.protocol.WorkerReport;
import org.junit.jupiter.api.Test;

/** Reports are due every 4 s: late after 7 s, given up after 12 s, in a cut zone after 52 s, all alike after 28 s. */
class SilentMachinesTest {
    private final ClusterView view = Samples.view();
    private final Map<String, Worker> workers = new HashMap<>();
    private final SilentMachines silent =
            new SilentMachines(view, Samples.SELF, Duration.ofSeconds(4), Samples.NEIGHBOURS, workers);
    private Instant now = Instant.EPOCH;
    private long sequence;
    private long revision = 100;

    SilentMachinesTest() {
        silent.entitled(true, now);
    }

    private void machine(String name, String zone) {
        MachineRecord machine = Samples.machine(name, "large", Samples.SELF);
        Samples.put(
                view,
                new MachineRecord(
                        name,
                        machine.address(),
                        machine.type(),
                        zone,
                        false,
                        Samples.SELF,
                        1,
                        1,
                        Disposition.STAYS,
                        machine.rented()),
                ++revision);
        workers.put(name, new Worker(now, at -> {}));
    }

    private void hear(String... names) {
        for (String name : names) {
            workers.get(name)
                    .take(
                            new WorkerReport(
                                    name, "10.1.0.1:9000", "large", "a", false, 1, ++sequence, 1, null, List.of()),
                            now);
        }
    }

    /** Seconds pass in which only these are heard. */
    private void pass(int seconds, String... heard) {
        for (int i = 0; i < seconds; i++) {
            now = now.plusSeconds(1);
            hear(heard);
            Transaction draft = new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
            silent.propose(draft, now);
            Samples.commit(view, draft, ++revision);
        }
    }

    private Disposition fate(String name) {
        return view.machine(name).fate();
    }

    /** Once, the leader booked urgent tasks on silent machines until these were given up (senderos-altos-fleet zone). */
    @Test
    void aMachineThatMissedAReportTakesNoTasksUntilItIsHeard() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.STAYS);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.SILENT);
        assertThat(view.machine("vm-2").takesTasks()).isFalse();
        pass(1, "vm-1", "vm-2");
        assertThat(fate("vm-2")).isEqualTo(Disposition.STAYS);
        pass(13, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.LOST);
    }

    @Test
    void allSilentAtOnceAreNotGivenUpSoFast() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(27);
        assertThat(List.of(fate("vm-1"), fate("vm-2"))).containsOnly(Disposition.SILENT);
        pass(2);
        assertThat(List.of(fate("vm-1"), fate("vm-2"))).containsOnly(Disposition.LOST);
    }

    /** perch-2 is the only controller of zone b and not a member: it may keep the work there alive. */
    @Test
    void aZoneThatIsCutOffWithItsControllerIsWaitedFor() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        machine("vm-3", "b");
        pass(50, "vm-1");
        assertThat(List.of(fate("vm-2"), fate("vm-3"))).containsOnly(Disposition.SILENT);
        pass(4, "vm-1");
        assertThat(List.of(fate("vm-2"), fate("vm-3"))).as("not for ever").containsOnly(Disposition.LOST);
    }

    @Test
    void oneMachineHeardShowsThatTheZoneIsNotCutOff() {
        machine("vm-2", "b");
        machine("vm-3", "b");
        pass(14, "vm-2");
        assertThat(fate("vm-3")).isEqualTo(Disposition.LOST);
    }

    /** Groups of the controller that is cut off are taken over at the same time; nothing is heard of those either. */
    @Test
    void aMachineThatWasJustTakenOverIsNoSignOfLife() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        pass(8, "vm-1");
        machine("vm-3", "b");
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.SILENT);
    }

    @Test
    void aZoneWhoseControllerIsAMemberIsNotCutOff() {
        view.put(Keys.member("perch-2"), new Incarnation("perch-2", 5), ++revision);
        machine("vm-1", "a");
        machine("vm-3", "b");
        pass(14, "vm-1");
        assertThat(fate("vm-3")).isEqualTo(Disposition.LOST);
    }

    /** Its tasks must be gone in time, and only the cloud can end them there. */
    @Test
    void aMachineWithACancelledTaskIsGivenUpAlsoInAZoneThatIsCutOff() {
        machine("vm-1", "a");
        machine("vm-2", "b");
        machine("vm-3", "b");
        JobRequest request = Samples.request("run-000001", "red", Rank.NORMAL, 1, 4);
        view.put(
                Keys.job(request.id()),
                Samples.placed(JobRecord.accepted(request, "perch-0", Samples.DAY), Samples.DAY, "vm-3")
                        .cancel(Samples.DAY),
                ++revision);
        pass(14, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.SILENT);
        assertThat(fate("vm-3")).isEqualTo(Disposition.LOST);
    }

    /** A controller that was not entitled has refused reports: it has to listen again first. */
    @Test
    void silenceBeforeReportsAreTakenSaysNothing() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        silent.entitled(false, now);
        pass(20);
        silent.entitled(true, now);
        pass(7, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.STAYS);
        pass(4, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.SILENT);
    }

    /** Its commands are answered, so it is not silent; but no lease is renewed, and all that is placed there is lost. */
    @Test
    void aMachineWhoseReportsReachNobodyTakesNoTasks() {
        machine("vm-1", "a");
        machine("vm-2", "a");
        pass(8, "vm-1", "vm-2");
        workers.get("vm-2").takeAnswer(report("vm-2", 1), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.STAYS);
        workers.get("vm-2").takeAnswer(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.SILENT);
        workers.get("vm-2").takeAnswer(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2"))
                .as("answers do not show that it reaches anybody")
                .isEqualTo(Disposition.SILENT);
        workers.get("vm-2")
                .take(new WorkerReport("vm-2", "10.1.0.1:9000", "large", "a", false, 1, 1, 1, null, List.of()), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).as("nor does an old copy").isEqualTo(Disposition.SILENT);
        workers.get("vm-2").take(report("vm-2", 2), now);
        pass(1, "vm-1");
        assertThat(fate("vm-2")).isEqualTo(Disposition.STAYS);
    }

    private WorkerReport report(String name, long session) {
        return new WorkerReport(name, "10.1.0.1:9000", "large", "a", false, session, ++sequence, 1, null, List.of());
    }
}
