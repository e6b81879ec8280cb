package org.gullway.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class JobFeasibilityTest {
    private static final int SMALLEST_VALUE_BYTES = 1024;

    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final ClusterState clusterState = TestFixtures.clusterState();

    JobFeasibilityTest() {
        machineTypes.update(List.of(TestFixtures.type("large", 32)));
        TestFixtures.put(clusterState, TestFixtures.machine("vm-000001", "large", TestFixtures.SELF), 10);
    }

    private JobFeasibility feasibility(int valueBytes) {
        return new JobFeasibility(
                machineTypes,
                new TeamQuotas(Map.of("red", new Settings.Team("red", 1000, 2000, 0, 0))),
                new RecordCapacity(clusterState, valueBytes, () -> TestFixtures.WALL_CLOCK_TIME));
    }

    private static JobRequest request(JobRequest.Shape shape, int tasks, String image) {
        return new JobRequest(
                "run-000001",
                "render",
                "red",
                shape,
                Priority.HIGH,
                tasks,
                1,
                0,
                1,
                image,
                0.5,
                null,
                null,
                false,
                false,
                true,
                Duration.ofSeconds(20),
                Duration.ZERO,
                Duration.ZERO,
                null);
    }

    private boolean isFeasible(JobRequest.Shape shape, int tasks) {
        return feasibility(TestFixtures.LIMITS.valueBytes()).isFeasible(request(shape, tasks, "img-1"));
    }

    /** Guards against jobs that are accepted but never start, because their record cannot list all tasks at once. */
    @Test
    void jobsWhoseTasksRunAtTheSameTimeAreFeasibleOnlyIfTheRecordCanListThem() {
        assertThat(isFeasible(JobRequest.Shape.GANG, 300)).isTrue();
        assertThat(isFeasible(JobRequest.Shape.GANG, 1000)).isFalse();
        assertThat(isFeasible(JobRequest.Shape.SERVICE, 1000)).isFalse();
        assertThat(isFeasible(JobRequest.Shape.ARRAY, JobRequest.MAX_TASKS)).isTrue();
    }

    /** Guards against a submission that the state store rejects, together with all other changes, in every cycle. */
    @Test
    void jobsWhoseRecordsAreTooLargeForTheStateStoreAreInfeasible() {
        JobRequest small = request(JobRequest.Shape.ARRAY, 1, "img-1");
        JobRequest large = request(JobRequest.Shape.ARRAY, 1, "é".repeat(200));
        assertThat(feasibility(SMALLEST_VALUE_BYTES).isFeasible(small)).isTrue();
        assertThat(feasibility(SMALLEST_VALUE_BYTES).isFeasible(large)).isFalse();
        assertThat(feasibility(TestFixtures.LIMITS.valueBytes()).isFeasible(large))
                .isTrue();
    }
}
