package org.gullway.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

class UnlimitedQuotaTest {
    private final MachineTypeCatalog machineTypes = new MachineTypeCatalog();
    private final TeamQuotas quotas = new TeamQuotas(
            Map.of("red", new Settings.Team("red", 16, 32, 0, 0), "guest", new Settings.Team("guest", 0, 0, 0, 0)));

    private final JobFeasibility feasibility = new JobFeasibility(
            machineTypes,
            quotas,
            new RecordCapacity(
                    TestFixtures.clusterState(), TestFixtures.LIMITS.valueBytes(), () -> TestFixtures.WALL_CLOCK_TIME));

    UnlimitedQuotaTest() {
        machineTypes.update(List.of(TestFixtures.type("small", 16), TestFixtures.type("large", 32)));
    }

    /**
     * A quota limit of 0 in the settings means that there is no limit. It must not be read as a limit of zero, which
     * rejects every job.
     */
    @Test
    void jobsWithUnlimitedQuotaAreFeasibleIfATaskFitsOnAMachineType() {
        assertThat(feasibility.isFeasible(TestFixtures.request("run-000001", "guest", Priority.IDLE, 25_000, 32)))
                .isTrue();
        assertThat(feasibility.isFeasible(TestFixtures.request("run-000001", "guest", Priority.IDLE, 1, 33)))
                .isFalse();
        assertThat(feasibility.isFeasible(TestFixtures.request("run-000001", "nobody", Priority.IDLE, 1, 1)))
                .isFalse();
        assertThat(feasibility.isFeasible(TestFixtures.request("run-000001", "red", Priority.IDLE, 1, 32)))
                .isTrue();
    }

    @Test
    void teamWithUnlimitedQuotaGetsPartitionsForItsDemand() {
        ClusterState clusterState = new ClusterState();
        clusterState.put(StoreKeys.member(TestFixtures.SELF.node()), TestFixtures.SELF, Count.ONE);
        clusterState.put(StoreKeys.member(TestFixtures.PEER.node()), TestFixtures.PEER, Count.of(2));
        JobRequest request = TestFixtures.request("run-000001", "guest", Priority.IDLE, 25_000, 32);
        clusterState.put(
                StoreKeys.job(request.id()),
                JobRecord.accepted(request, TestFixtures.SELF.node(), TestFixtures.WALL_CLOCK_TIME),
                Count.of(3));
        clusterState.put(
                StoreKeys.job("run-000002"),
                JobRecord.accepted(
                        TestFixtures.request("run-000002", "guest", Priority.IDLE, 25_000, 32),
                        TestFixtures.PEER.node(),
                        TestFixtures.WALL_CLOCK_TIME),
                Count.of(4));
        clusterState.advanceTo(Count.of(4));
        long revision = 4;
        for (Incarnation controller : List.of(TestFixtures.SELF, TestFixtures.PEER)) {
            Transaction transaction =
                    new Transaction(clusterState, controller, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
            new QuotaPartitioner(
                            clusterState,
                            quotas,
                            controller.node(),
                            List.of(TestFixtures.SELF.node(), TestFixtures.PEER.node()))
                    .plan(transaction, PlanningContext.of(Instant.EPOCH, false, true));
            TestFixtures.commit(clusterState, transaction, ++revision);
        }
        for (String id : List.of("run-000001", "run-000002")) {
            Transaction transaction =
                    new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
            assertThat(quotas.remainingTasks(clusterState.job(id), transaction)).isGreaterThanOrEqualTo(25_000);
        }
    }
}
