package org.gullway.coordination.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.protocol.Count;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Checks that the cluster state matches the store's records, in whatever order their changes arrive. */
class ClusterStateTest {
    /**
     * Guards against a key that is restored permanently: the outcome of this controller's own transaction can arrive
     * after the watch has delivered a later removal of the same key by another controller.
     */
    @Test
    void lateTransactionOutcomeDoesNotRestoreARemovedKey() {
        ClusterState clusterState = TestFixtures.clusterState();
        JobRecord job = JobRecord.accepted(
                TestFixtures.request("run-000001", "red", Priority.HIGH, 1, 4), null, TestFixtures.WALL_CLOCK_TIME);
        clusterState.put(StoreKeys.job("run-000001"), job, Count.of(1001));
        clusterState.remove(StoreKeys.job("run-000001"), Count.of(1003));
        clusterState.advanceTo(Count.of(1003));
        clusterState.put(
                StoreKeys.job("run-000001"), job.withCancellation(TestFixtures.WALL_CLOCK_TIME), Count.of(1002));
        assertThat(clusterState.job("run-000001")).isNull();
        assertThat(clusterState.version(StoreKeys.job("run-000001"))).isEqualTo(Count.ZERO);
    }

    /**
     * Guards against a completed attempt that is forgotten too early: a job counts as done only if it has no record and
     * its cancellation would have been seen, which a full read may hide.
     */
    @Test
    void aJobIsKnownToBeDoneOnlyIfItsCancellationWouldHaveBeenSeen() {
        ClusterState clusterState = TestFixtures.clusterState();
        for (int i = 1; i <= 4; i++) {
            clusterState.put(StoreKeys.job("run-00000" + i), acceptedJob("run-00000" + i), Count.of(1000 + i));
            assertThat(clusterState.isKnownDone("run-00000" + i)).as("live").isFalse();
        }
        clusterState.remove(StoreKeys.job("run-000001"), Count.of(1010));
        clusterState.put(
                StoreKeys.job("run-000002"),
                acceptedJob("run-000002").withCancellation(TestFixtures.WALL_CLOCK_TIME),
                Count.of(1011));
        clusterState.remove(StoreKeys.job("run-000002"), Count.of(1012));
        clusterState.clear();
        clusterState.put(StoreKeys.job("run-000003"), acceptedJob("run-000003"), Count.of(1003));
        clusterState.onFullRead(Count.of(1020));
        clusterState.remove(StoreKeys.job("run-000003"), Count.of(1021));
        assertThat(clusterState.isKnownDone("run-000001")).as("done").isTrue();
        assertThat(clusterState.isKnownDone("run-000002")).as("cancelled").isFalse();
        assertThat(clusterState.isKnownDone("run-000003"))
                .as("done after a full read")
                .isTrue();
        assertThat(clusterState.isKnownDone("run-000004")).as("ended unseen").isFalse();
    }

    private static JobRecord acceptedJob(String id) {
        return JobRecord.accepted(
                TestFixtures.request(id, "red", Priority.HIGH, 1, 4), null, TestFixtures.WALL_CLOCK_TIME);
    }

    /** The indexes process only the placements that differ between two records; the sums must match a full recount. */
    @Property(tries = 100, seed = "11")
    void incrementalUsageMatchesAFullRecount(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ClusterState clusterState = TestFixtures.clusterState();
        Map<String, JobRecord> expected = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            String id = "run-00000" + random.nextInt(4);
            JobRecord job = expected.getOrDefault(
                    id,
                    JobRecord.accepted(
                            TestFixtures.request(id, "red", Priority.NORMAL, 9, 2),
                            "perch-0",
                            TestFixtures.WALL_CLOCK_TIME));
            JobRecord present = job;
            JobRecord next =
                    switch (random.nextInt(6)) {
                        case 0 -> job.waitingTasks() > 0
                                ? TestFixtures.placed(job, TestFixtures.WALL_CLOCK_TIME, "vm-" + random.nextInt(3))
                                : job;
                        case 1 -> job.withStopping(p -> random.nextBoolean());
                        case 2 -> job.withOwner("perch-" + random.nextInt(2));
                        case 3 -> job.withCancellation(TestFixtures.WALL_CLOCK_TIME);
                        case 4 -> job.livePlacements().isEmpty()
                                ? job
                                : job.withoutEndedAttempts(
                                        Map.of(present.livePlacements().get(0), JobRecord.AttemptOutcome.STOPPED));
                        default -> job.waitingTasks() > 1
                                ? TestFixtures.placed(
                                        job,
                                        TestFixtures.WALL_CLOCK_TIME,
                                        "vm-" + random.nextInt(3),
                                        "vm-" + random.nextInt(3))
                                : job;
                    };
            expected.put(id, next);
            clusterState.put(StoreKeys.job(id), next, Count.of(2000 + i));
        }
        for (String machine : List.of("vm-0", "vm-1", "vm-2")) {
            List<Placement> placements = new ArrayList<>();
            expected.values().forEach(job -> job.livePlacements().stream()
                    .filter(p -> p.machine().equals(machine))
                    .forEach(placements::add));
            assertThat(clusterState.placementsOn(machine).values()).containsExactlyInAnyOrderElementsOf(placements);
            assertThat(clusterState.usageOn(machine).cpus).isEqualTo(2.0 * placements.size());
        }
        for (String owner : List.of("perch-0", "perch-1")) {
            int tasks = expected.values().stream()
                    .filter(j -> j.owner().equals(owner))
                    .mapToInt(j -> j.livePlacements().size())
                    .sum();
            assertThat(clusterState.quotaUsage(StoreKeys.quotaPartition(owner), "red").cpus)
                    .isEqualTo(2.0 * tasks);
        }
    }
}
