package org.gullway.coordination.failover;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;

class ReconciliationTest {
    private static final Incarnation THIRD = new Incarnation("perch-2", 19);

    private final ClusterState clusterState = TestFixtures.clusterState();
    private long revision = 100;

    private void putOrphanedJob(String id, int placed) {
        JobRecord job = JobRecord.accepted(
                TestFixtures.request(id, "red", Priority.NORMAL, 20, 4), "perch-9", TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(
                StoreKeys.job(id),
                TestFixtures.placed(
                        job,
                        TestFixtures.WALL_CLOCK_TIME,
                        Collections.nCopies(placed, "vm-1").toArray(String[]::new)),
                Count.of(++revision));
    }

    private void reconcile(int seed, int cycles) {
        Reconciliation reconciliation =
                new Reconciliation(clusterState, TestFixtures.quotas(), "perch-0", new SplittableRandom(seed));
        Instant now = Instant.EPOCH;
        for (int i = 0; i < cycles; i++) {
            now = now.plusSeconds(1);
            Transaction transaction =
                    new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
            reconciliation.plan(transaction, TestFixtures.leaderContext(now));
            TestFixtures.commit(clusterState, transaction, ++revision);
        }
    }

    private double quotaOf(String controller) {
        return clusterState
                .quotaPartitions()
                .getOrDefault(StoreKeys.quotaPartition(controller), QuotaPartition.EMPTY)
                .of("red")
                .cpus();
    }

    /**
     * The lost owner held a quota of 24 processors, and its stored job records contain placements of 8 tasks with 4
     * processors each. Two of the 8 had ended and the owner had used their processors for other tasks, but the
     * completions are not stored, and no other controller knows which two tasks these are. Whichever they are, no new
     * owner may hold less quota than its jobs use.
     */
    @Property(tries = 40, seed = "41")
    void quotaPartitionIsNotTransferredWhileStoredUsageExceedsIt(
            @ForAll @IntRange(min = 0, max = 8) int firstJobTasks, @ForAll @IntRange(max = 1000) int seed) {
        clusterState.put(StoreKeys.member("perch-2"), THIRD, Count.of(++revision));
        TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), ++revision);
        clusterState.put(
                StoreKeys.quotaPartition("perch-9"),
                QuotaPartition.EMPTY.with("red", new QuotaPartition.Amount(24, 0)),
                Count.of(++revision));
        for (String controller : List.of("perch-0", "perch-1", "perch-2")) {
            clusterState.put(StoreKeys.quotaPartition(controller), QuotaPartition.EMPTY, Count.of(++revision));
        }
        putOrphanedJob("run-000001", firstJobTasks);
        putOrphanedJob("run-000002", 8 - firstJobTasks);
        reconcile(seed, 3);
        for (String id : List.of("run-000001", "run-000002")) {
            assertThat(clusterState.job(id).owner())
                    .as("owner before the completions are stored")
                    .isEqualTo("perch-9");
        }
        assertThat(quotaOf("perch-9")).isEqualTo(24);
        // Once the completions are stored, the remaining tasks fit into the quota, and it is transferred with the jobs.
        String completed = firstJobTasks >= 2 ? "run-000001" : "run-000002";
        JobRecord job = clusterState.job(completed);
        clusterState.put(
                StoreKeys.job(completed),
                job.withoutEndedAttempts(Map.of(
                        job.livePlacements().get(0),
                        JobRecord.AttemptOutcome.DONE,
                        job.livePlacements().get(1),
                        JobRecord.AttemptOutcome.DONE)),
                Count.of(++revision));
        clusterState.advanceTo(Count.of(revision));
        reconcile(seed, 3);
        double totalQuota = 0;
        for (String id : List.of("run-000001", "run-000002")) {
            JobRecord transferred = clusterState.job(id);
            assertThat(transferred.owner()).isNotEqualTo("perch-9");
            assertThat(clusterState.quotaUsage(StoreKeys.quotaPartition(transferred.owner()), "red").cpus)
                    .isLessThanOrEqualTo(quotaOf(transferred.owner()));
        }
        for (String controller : List.of("perch-0", "perch-1", "perch-2", "perch-9")) {
            totalQuota += quotaOf(controller);
        }
        assertThat(totalQuota).isLessThanOrEqualTo(24);
    }

    private void reconcileAt(Reconciliation reconciliation, int second) {
        Transaction transaction =
                new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
        reconciliation.plan(transaction, PlanningContext.of(Instant.EPOCH.plusSeconds(second), false, true));
        TestFixtures.commit(clusterState, transaction, ++revision);
    }

    /** Guards against a repeated check of all placements: only those of changed jobs or machines are checked again. */
    @Example
    void checksOnlyChangedPlacementsAndStillFindsThoseLostLater() {
        for (String machine : List.of("vm-1", "vm-2")) {
            TestFixtures.put(clusterState, TestFixtures.machine(machine, "large", TestFixtures.SELF), ++revision);
        }
        for (int i = 1; i <= 40; i++) {
            JobRecord job = JobRecord.accepted(
                    TestFixtures.request("run-%06d".formatted(i), "red", Priority.NORMAL, 2, 1),
                    "perch-0",
                    TestFixtures.WALL_CLOCK_TIME);
            String machine = i % 4 == 0 ? "vm-2" : "vm-1";
            clusterState.put(
                    StoreKeys.job(job.request().id()),
                    TestFixtures.placed(job, TestFixtures.WALL_CLOCK_TIME, machine, machine),
                    Count.of(++revision));
        }
        Reconciliation reconciliation =
                new Reconciliation(clusterState, TestFixtures.quotas(), "perch-0", new SplittableRandom(1));
        reconcileAt(reconciliation, 1);
        assertThat(reconciliation.checkedPlacements()).isEqualTo(80);
        for (int second = 2; second < 50; second++) {
            TestFixtures.put(clusterState, TestFixtures.machine("vm-1", "large", TestFixtures.SELF), ++revision);
            reconcileAt(reconciliation, second);
        }
        assertThat(reconciliation.checkedPlacements())
                .as("number of checks after changes that affect no placement")
                .isEqualTo(80);
        TestFixtures.put(
                clusterState,
                TestFixtures.machine("vm-2", "large", TestFixtures.SELF).withAgentEpoch(Count.of(2), "10.1.0.1:9000"),
                ++revision);
        reconcileAt(reconciliation, 50);
        assertThat(reconciliation.checkedPlacements())
                .as("number of checks after the placements on vm-2 were lost")
                .isEqualTo(80 + 20);
        assertThat(clusterState.placementsOn("vm-2")).isEmpty();
        assertThat(clusterState.placementsOn("vm-1")).hasSize(60);
        clusterState.remove(StoreKeys.shard("g-vm-1"), Count.of(++revision));
        for (int second = 51; second < 60; second++) {
            reconcileAt(reconciliation, second);
        }
        assertThat(clusterState.placementsOn("vm-1"))
                .as("placements on the removed machine vm-1, which take more than one transaction to end")
                .isEmpty();
    }
}
