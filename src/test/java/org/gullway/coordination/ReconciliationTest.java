package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.protocol.Rank;

class ReconciliationTest {
    private static final Incarnation THIRD = new Incarnation("perch-2", 19);

    private final ClusterView view = Samples.view();
    private long revision = 100;

    private void job(String id, int placed) {
        JobRecord job = JobRecord.accepted(Samples.request(id, "red", Rank.NORMAL, 20, 4), "perch-9", Samples.DAY);
        view.put(
                Keys.job(id),
                Samples.placed(
                        job,
                        Samples.DAY,
                        java.util.Collections.nCopies(placed, "vm-1").toArray(String[]::new)),
                ++revision);
    }

    private void repair(int seed, int rounds) {
        Reconciliation repair = new Reconciliation(view, Samples.placing(), "perch-0", new SplittableRandom(seed));
        Instant now = Instant.EPOCH;
        for (int i = 0; i < rounds; i++) {
            now = now.plusSeconds(1);
            Transaction draft = new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
            repair.propose(draft, true, now);
            Samples.commit(view, draft, ++revision);
        }
    }

    private double cap(String node) {
        return view.shares()
                .getOrDefault(Keys.share(node), AllotmentRecord.EMPTY)
                .of("red")
                .cpus();
    }

    /**
     * The lost owner held 24 processors. Of 8 tasks of 4 on record two had ended, which it knew and used again: which
     * of its jobs they belong to nobody else knows. Whichever they are, no new owner may end up with less than it runs.
     */
    @Property(tries = 40, seed = "41")
    void aShareThatIsOverdrawnOnRecordIsNotDividedBetweenNewOwners(
            @ForAll @IntRange(min = 0, max = 8) int first, @ForAll @IntRange(max = 1000) int seed) {
        view.put(Keys.member("perch-2"), THIRD, ++revision);
        Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), ++revision);
        view.put(
                Keys.share("perch-9"),
                AllotmentRecord.EMPTY.with("red", new AllotmentRecord.Amount(24, 0)),
                ++revision);
        for (String node : java.util.List.of("perch-0", "perch-1", "perch-2")) {
            view.put(Keys.share(node), AllotmentRecord.EMPTY, ++revision);
        }
        job("run-000001", first);
        job("run-000002", 8 - first);
        repair(seed, 3);
        for (String id : java.util.List.of("run-000001", "run-000002")) {
            assertThat(view.job(id).owner())
                    .as("handed on before the ends are on record")
                    .isEqualTo("perch-9");
        }
        assertThat(cap("perch-9")).isEqualTo(24);
        // The ends come on record: what is left fits into the share, and goes along with the jobs.
        String with = first >= 2 ? "run-000001" : "run-000002";
        JobRecord job = view.job(with);
        view.put(
                Keys.job(with),
                job.ended(
                        Map.of(job.live().get(0), JobRecord.End.DONE, job.live().get(1), JobRecord.End.DONE)),
                ++revision);
        view.watchedTo(revision);
        repair(seed, 3);
        double sum = 0;
        for (String id : java.util.List.of("run-000001", "run-000002")) {
            JobRecord handed = view.job(id);
            assertThat(handed.owner()).isNotEqualTo("perch-9");
            assertThat(view.usedOf(Keys.share(handed.owner()), "red").cpus).isLessThanOrEqualTo(cap(handed.owner()));
        }
        for (String node : java.util.List.of("perch-0", "perch-1", "perch-2", "perch-9")) {
            sum += cap(node);
        }
        assertThat(sum).isLessThanOrEqualTo(24);
    }

    private void repairAt(Reconciliation repair, int second) {
        Transaction draft = new Transaction(view, Samples.SELF, Samples.LIMITS, Samples.DAY);
        repair.propose(draft, false, Instant.EPOCH.plusSeconds(second));
        Samples.commit(view, draft, ++revision);
    }

    /** Placements are checked when their job's record or their machine has changed, and only then. */
    @Example
    void checksOnlyWhatHasChangedAndStillFindsWhatIsLostLater() {
        for (String machine : java.util.List.of("vm-1", "vm-2")) {
            Samples.put(view, Samples.machine(machine, "large", Samples.SELF), ++revision);
        }
        for (int i = 1; i <= 40; i++) {
            JobRecord job = JobRecord.accepted(
                    Samples.request("run-%06d".formatted(i), "red", Rank.NORMAL, 2, 1), "perch-0", Samples.DAY);
            String machine = i % 4 == 0 ? "vm-2" : "vm-1";
            view.put(Keys.job(job.request().id()), Samples.placed(job, Samples.DAY, machine, machine), ++revision);
        }
        Reconciliation repair = new Reconciliation(view, Samples.placing(), "perch-0", new SplittableRandom(1));
        repairAt(repair, 1);
        assertThat(repair.checkedPlacements()).isEqualTo(80);
        for (int second = 2; second < 50; second++) {
            Samples.put(view, Samples.machine("vm-1", "large", Samples.SELF), ++revision);
            repairAt(repair, second);
        }
        assertThat(repair.checkedPlacements()).as("nothing new").isEqualTo(80);
        Samples.put(view, Samples.machine("vm-2", "large", Samples.SELF).inSession(2, "10.1.0.1:9000"), ++revision);
        repairAt(repair, 50);
        assertThat(repair.checkedPlacements()).as("the jobs on vm-2").isEqualTo(80 + 20);
        assertThat(view.placementsOn("vm-2")).isEmpty();
        assertThat(view.placementsOn("vm-1")).hasSize(60);
        view.remove(Keys.group("g-vm-1"), ++revision);
        for (int second = 51; second < 60; second++) {
            repairAt(repair, second);
        }
        assertThat(view.placementsOn("vm-1"))
                .as("more than one commit can hold")
                .isEmpty();
    }
}
