package org.gullway.coordination.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

class RecordCapacityTest {
    private static final int MAX_NAME_DIGITS = 18;

    private final ClusterState clusterState = TestFixtures.clusterState();
    private long version = 100;

    private Transaction newTransaction() {
        return new Transaction(
                clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME.plusSeconds(70));
    }

    private JobRecord job(int tasks) {
        return JobRecord.accepted(
                TestFixtures.request("run-000001", "red", Priority.NORMAL, tasks, 0.01),
                "perch-0",
                TestFixtures.WALL_CLOCK_TIME);
    }

    private List<MachineRecord> addMachines(SplittableRandom random) {
        List<MachineRecord> machines = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(5); i++) {
            String name = "vm-" + i + "0".repeat(random.nextInt(MAX_NAME_DIGITS));
            MachineRecord machine = TestFixtures.machine(name, "large", TestFixtures.SELF);
            TestFixtures.put(clusterState, machine, ++version);
            machines.add(machine);
        }
        return machines;
    }

    /** Guards against resources that are held for tasks that cannot start, and tasks that could start but do not. */
    @Property(tries = 300, seed = "58")
    void tasksCountAsStartableIfAndOnlyIfTheyCanBePlaced(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<MachineRecord> machines = addMachines(random);
        JobRecord job = job(1 + random.nextInt(1000));
        List<MachineRecord> placed = new ArrayList<>();
        Transaction transaction = newTransaction();
        for (int i = random.nextInt(Math.min(job.request().tasks(), transaction.placeableTasks(job)) + 1); i > 0; i--) {
            placed.add(machines.get(random.nextInt(machines.size())));
        }
        JobRecord running = job.withPlacements(placed, TestFixtures.WALL_CLOCK_TIME.plusSeconds(1));
        assertThat(transaction.recordCapacity().startableTasks(running))
                .isEqualTo(Math.min(running.waitingTasks(), transaction.placeableTasks(running)));
    }

    @Test
    void aFullRecordHasNoRoomForTheWaitingTasks() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), ++version);
        Transaction transaction = newTransaction();
        JobRecord job = job(20_000);
        while (transaction.recordCapacity().startableTasks(job) > 0) {
            job = job.withPlacements(
                    List.of(TestFixtures.machine("vm-1", "large", TestFixtures.SELF)), TestFixtures.WALL_CLOCK_TIME);
        }
        assertThat(job.livePlacements()).hasSizeBetween(400, 1000);
        assertThat(transaction.placeableTasks(job)).isZero();
        assertThat(transaction.recordCapacity().activeTasks(job))
                .isEqualTo(job.livePlacements().size());
    }

    @Test
    void aNewJobIsLimitedToTheTasksThatItsRecordCanList() {
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), ++version);
        RecordCapacity recordCapacity = newTransaction().recordCapacity();
        assertThat(recordCapacity.maxSimultaneousTasks(job(20_000).request())).isBetween(300, 500);
        assertThat(recordCapacity.maxSimultaneousTasks(job(200).request())).isEqualTo(200);
    }
}
