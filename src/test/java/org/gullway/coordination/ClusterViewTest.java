package org.gullway.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.protocol.Rank;
import org.junit.jupiter.api.Test;

class ClusterViewTest {
    /** Once, the answer to an own commit came after the watch had brought the key's removal, and the job came back. */
    @Test
    void aLateAnswerDoesNotBringBackWhatWasRemoved() {
        ClusterView view = Samples.view();
        JobRecord job = JobRecord.accepted(Samples.request("run-000001", "red", Rank.HIGH, 1, 4), null, Samples.DAY);
        view.put(Keys.job("run-000001"), job, 1001);
        view.remove(Keys.job("run-000001"), 1003);
        view.watchedTo(1003);
        view.put(Keys.job("run-000001"), job.cancel(Samples.DAY), 1002);
        assertThat(view.job("run-000001")).isNull();
        assertThat(view.mark(Keys.job("run-000001"))).isZero();
    }

    /** Only what differs between two records of a job is counted; the sums must stay those of a fresh count. */
    @Property(tries = 100, seed = "11")
    void sumsFollowTheRecords(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ClusterView view = Samples.view();
        Map<String, JobRecord> truth = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = "run-00000" + random.nextInt(4);
            JobRecord job = truth.getOrDefault(
                    id, JobRecord.accepted(Samples.request(id, "red", Rank.NORMAL, 9, 2), "perch-0", Samples.DAY));
            JobRecord known = job;
            JobRecord next =
                    switch (random.nextInt(6)) {
                        case 0 -> job.waiting() > 0 ? Samples.placed(job, Samples.DAY, "vm-" + random.nextInt(3)) : job;
                        case 1 -> job.stopping(p -> random.nextBoolean());
                        case 2 -> job.ownedBy("perch-" + random.nextInt(2));
                        case 3 -> job.cancel(Samples.DAY);
                        case 4 -> job.live().isEmpty()
                                ? job
                                : job.ended(Map.of(known.live().get(0), JobRecord.End.STOPPED));
                        default -> job.waiting() > 1
                                ? Samples.placed(job, Samples.DAY, "vm-" + random.nextInt(3), "vm-" + random.nextInt(3))
                                : job;
                    };
            truth.put(id, next);
            view.put(Keys.job(id), next, 2000 + i);
        }
        for (String machine : List.of("vm-0", "vm-1", "vm-2")) {
            List<Placement> there = new ArrayList<>();
            truth.values().forEach(job -> job.live().stream()
                    .filter(p -> p.machine().equals(machine))
                    .forEach(there::add));
            assertThat(view.placementsOn(machine).values()).containsExactlyInAnyOrderElementsOf(there);
            assertThat(view.usedOn(machine).cpus).isEqualTo(2.0 * there.size());
        }
        for (String owner : List.of("perch-0", "perch-1")) {
            int tasks = truth.values().stream()
                    .filter(j -> j.owner().equals(owner))
                    .mapToInt(j -> j.live().size())
                    .sum();
            assertThat(view.usedOf(Keys.share(owner), "red").cpus).isEqualTo(2.0 * tasks);
        }
    }
}
