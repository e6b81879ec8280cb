package org.gullway.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Scale;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.ResourceUsage;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.MachineType;
import org.gullway.protocol.MessageLimits;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

class FreeResourcesTest {
    private static final MachineType TYPE = TestFixtures.type("large", 32);

    private static JobRequest request(double cpus) {
        return TestFixtures.request("run-000001", "red", Priority.NORMAL, 1000, cpus);
    }

    /** Guards against places that ask whether tasks fit and get different answers. */
    @Property(tries = 300, seed = "56")
    void theNumberOfFittingTasksMatchesFittingOneByOne(
            @ForAll @Scale(3) @DoubleRange(min = 0.001, max = 40) double cpus,
            @ForAll @DoubleRange(max = 32) double usedCpus,
            @ForAll @IntRange(max = 600) int usedAttempts) {
        ResourceUsage used = new ResourceUsage();
        used.cpus = usedCpus;
        used.tasks = usedAttempts;
        FreeResources free = FreeResources.of(TYPE, used);
        int fitting = free.fittingTasks(request(cpus));
        int reserved = 0;
        while (free.fits(request(cpus))) {
            free.reserve(request(cpus), 1);
            reserved++;
        }
        assertThat(reserved).isEqualTo(fitting);
        assertThat(used.tasks + reserved).isLessThanOrEqualTo(Math.max(used.tasks, MessageLimits.MAX_PLACED_ATTEMPTS));
    }

    /** Guards against a machine that is offered, or kept as spare capacity, although no task fits there any more. */
    @Test
    void aMachineWithTheMaximumOfAttemptsHasNoUsableCpus() {
        ClusterState clusterState = TestFixtures.clusterState();
        MachineRecord machine = TestFixtures.machine("vm-1", "large", TestFixtures.SELF);
        TestFixtures.put(clusterState, machine, 10);
        PlacementConstraints constraints = TestFixtures.constraints();
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        JobRecord job = JobRecord.accepted(request(0.001), "perch-0", TestFixtures.WALL_CLOCK_TIME);
        List<MachineRecord> reserved =
                new BestFit(clusterState, constraints).reserve(job, 1000, List.of(machine), transaction);
        assertThat(reserved).isEqualTo(Collections.nCopies(MessageLimits.MAX_PLACED_ATTEMPTS, machine));
        assertThat(constraints.fits(job.request(), machine, transaction)).isFalse();
        assertThat(constraints.freeCpus(machine, transaction)).isZero();
        transaction.unreserve(job, machine);
        assertThat(constraints.fits(job.request(), machine, transaction)).isTrue();
        assertThat(constraints.freeCpus(machine, transaction)).isPositive();
    }
}
