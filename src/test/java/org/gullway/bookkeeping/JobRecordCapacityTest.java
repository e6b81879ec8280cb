package org.gullway.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.JobRecord.End;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.Placement;
import org.gullway.coordination.Samples;
import org.gullway.protocol.Rank;
import org.junit.jupiter.api.Test;

/** How many attempts of a huge array the record has room for, and that what follows always fits into it. */
class JobRecordCapacityTest {
    private static final int VALUE_BYTES = 16 * 1024;
    private static final double CPUS_OF_MACHINE = 32;
    private static final int TASKS = 25_000;

    /** Machines with room for tasks of one job, and what is on them, second by second. */
    private static final class Fleet {
        private final int tasksOfMachine;
        private final Random random;
        private final Map<String, Integer> used = new HashMap<>();
        private final List<MachineRecord> machines = new ArrayList<>();
        private Instant now = Samples.DAY;
        private JobRecord job;

        Fleet(int machines, double cpus, long seed) {
            tasksOfMachine = (int) (CPUS_OF_MACHINE / cpus);
            random = new Random(seed);
            job = JobRecord.accepted(
                    Samples.request("run-000001", "red", Rank.IDLE, TASKS, cpus), "perch-0", Samples.DAY);
            for (int i = 0; i < machines; i++) {
                this.machines.add(Samples.machine(String.format("vm-%06d", i), "large", Samples.SELF));
            }
        }

        /** Fills free room, one machine after the other, as far as the record allows. */
        void fill() {
            int left = Math.min(job.waiting(), job.roomFor(VALUE_BYTES));
            List<MachineRecord> chosen = new ArrayList<>();
            for (MachineRecord machine : machines) {
                int taken = used.getOrDefault(machine.name(), 0);
                for (; taken < tasksOfMachine && left > 0; taken++, left--) {
                    chosen.add(machine);
                }
                used.put(machine.name(), taken);
            }
            if (!chosen.isEmpty()) {
                job = job.placed(chosen, now);
            }
            check();
        }

        void end(List<Placement> placements, End how) {
            Map<Placement, End> ends = new HashMap<>();
            placements.forEach(p -> ends.put(p, how));
            placements.forEach(p -> used.merge(p.machine(), -1, Integer::sum));
            job = job.ended(ends);
            check();
        }

        List<Placement> some(double share) {
            return job.live().stream().filter(p -> random.nextDouble() < share).toList();
        }

        void check() {
            assertThat(job.bytes()).isLessThanOrEqualTo(VALUE_BYTES);
            assertThat(RecordCodec.encode(job).toString().length()).isLessThanOrEqualTo(job.bytes());
        }

        void second() {
            now = now.plusSeconds(1);
        }
    }

    private static int atFirst(double cpus, int machines) {
        Fleet fleet = new Fleet(machines, cpus, 1);
        for (int round = 0; round < 40; round++) {
            fleet.fill();
            fleet.second();
        }
        return fleet.job.live().size();
    }

    /** Tasks end one by one, far out of order, for many times as long as they run. */
    private static int atLast(double cpus, int machines, double endingEachSecond) {
        Fleet fleet = new Fleet(machines, cpus, 2);
        for (int second = 0; second < 300; second++) {
            fleet.fill();
            fleet.second();
            fleet.end(fleet.some(endingEachSecond), End.DONE);
        }
        fleet.fill();
        return fleet.job.live().size();
    }

    /** With 36 bytes for each attempt it was 413, whatever its tasks. */
    @Test
    void aHugeArrayOfLargeTasksHasManyMoreThanFourHundredAttempts() {
        assertThat(atFirst(8, 2000)).isGreaterThanOrEqualTo(1800);
        assertThat(atLast(8, 2000, 0.02)).isGreaterThanOrEqualTo(780);
    }

    @Test
    void aHugeArrayOfSmallTasksHasThousandsOfAttempts() {
        assertThat(atFirst(0.25, 200)).isGreaterThanOrEqualTo(4800);
        assertThat(atLast(0.25, 200, 0.02)).isGreaterThanOrEqualTo(1150);
    }

    /** In any order: stops, ends of each kind, many at once, and new placements in the gaps that they leave. */
    @Property(tries = 60, seed = "31")
    void whatFollowsAPlacementAlwaysFits(@ForAll long seed) {
        Random random = new Random(seed);
        Fleet fleet = new Fleet(1 + random.nextInt(900), new double[] {0.25, 1, 8, 32}[random.nextInt(4)], seed);
        for (int step = 0; step < 30; step++) {
            fleet.fill();
            fleet.second();
            int before = fleet.job.bytes();
            List<Placement> stopped = fleet.some(random.nextInt(3) * 0.5);
            Set<Placement> which = Set.copyOf(stopped);
            fleet.job = fleet.job.stopping(which::contains);
            fleet.check();
            fleet.end(fleet.some(random.nextDouble()), End.values()[random.nextInt(3)]);
            assertThat(fleet.job.bytes()).as("only a placement makes it larger").isLessThanOrEqualTo(before);
        }
        fleet.job = fleet.job.cancel(fleet.now);
        fleet.check();
    }
}
