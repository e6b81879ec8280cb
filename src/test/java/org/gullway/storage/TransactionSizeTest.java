package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.gullway.coordination.cycle.PlanningContext;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.coordination.model.TransactionLimits;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.coordination.scheduling.DeadlinePolicy;
import org.gullway.coordination.scheduling.JobBackoff;
import org.gullway.coordination.scheduling.ReservedScheduler;
import org.gullway.coordination.scheduling.ScavengerScheduler;
import org.gullway.coordination.scheduling.SchedulingContext;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.gullway.protocol.Settings;
import org.junit.jupiter.api.Test;

/** Transactions of full scheduling cycles stay within the limits of the state store, which rejects others as a whole. */
class TransactionSizeTest {
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    private static final int MAX_VALUE_BYTES = 16 * 1024;
    private static final int TEAMS = 6;
    private static final int TASKS_PER_JOB = 400;
    private static final double LARGE_TASK_CPUS = 32;
    private static final int MACHINES = TEAMS * TASKS_PER_JOB;

    private final ClusterState clusterState = TestFixtures.clusterState();
    private final List<MachineRecord> machines = new ArrayList<>();
    private long version = 100;

    private SchedulingContext context() {
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        QuotaPartition quota = QuotaPartition.EMPTY;
        for (int i = 0; i < TEAMS; i++) {
            String team = "team-" + i;
            teams.put(team, new Settings.Team(team, 100_000, 100_000, 0, 0));
            quota = quota.with(team, new QuotaPartition.Amount(50_000, 0));
        }
        clusterState.put(StoreKeys.quotaPartition("perch-0"), quota, Count.of(++version));
        clusterState.put(StoreKeys.LEADER_QUOTA, quota, Count.of(++version));
        return new SchedulingContext(
                clusterState,
                TestFixtures.constraints(),
                new TeamQuotas(teams),
                new JobBackoff(),
                new DeadlinePolicy(List.of()));
    }

    private void addMachines(int count) {
        for (int i = 0; i < count; i++) {
            MachineRecord machine =
                    TestFixtures.machine(String.format("vm-%06d", 100_000 + i), "large", TestFixtures.SELF);
            TestFixtures.put(clusterState, machine, ++version);
            machines.add(machine);
        }
    }

    private void accept(int number, Priority priority, int tasks, double cpus) {
        String id = String.format("run-%06d", number);
        clusterState.put(
                StoreKeys.job(id),
                JobRecord.accepted(
                        TestFixtures.request(id, "team-" + number % TEAMS, priority, tasks, cpus),
                        priority == Priority.HIGH ? null : "perch-0",
                        TestFixtures.WALL_CLOCK_TIME.minusSeconds(5)),
                Count.of(++version));
        clusterState.advanceTo(Count.of(version));
    }

    private Transaction newTransaction() {
        return new Transaction(clusterState, TestFixtures.SELF, TestFixtures.LIMITS, TestFixtures.WALL_CLOCK_TIME);
    }

    /** Returns the size of a transaction as the state store measures it. */
    private int jsonBytes(Set<String> conditions, Map<String, StoreRecord> changes) throws MalformedMessageException {
        List<byte[]> bodies = new ArrayList<>();
        new StateStoreClient((address, request, callback) -> bodies.add(request.body()), "10.2.0.1:2379")
                .commit(conditions, key -> Count.MAX, changes, Count.MAX, outcome -> {});
        return Cbor.decode(bodies.get(0)).toString().length();
    }

    private void assertWithinLimits(Transaction transaction) throws MalformedMessageException {
        assertThat(jsonBytes(transaction.conditions(), transaction.changes()))
                .as("bytes of the transaction")
                .isLessThanOrEqualTo(MAX_TRANSACTION_BYTES);
        assertThat(transaction.changes().values()).allSatisfy(value -> assertThat(
                        RecordCodec.encode(value).toString().length())
                .isLessThanOrEqualTo(MAX_VALUE_BYTES));
    }

    /** Guards against status queries that fail for good, since the store rejects the check of all their keys at once. */
    @Test
    void checksOfManyKeysFitIntoOneTransaction() throws MalformedMessageException {
        TransactionLimits manyChanges = new TransactionLimits(10_000, MAX_VALUE_BYTES);
        Set<String> keys = new LinkedHashSet<>();
        for (int i = 0; i < manyChanges.maxComparedKeys(); i++) {
            keys.add(String.format("%0200d", i));
        }
        assertThat(jsonBytes(keys, Map.of())).isBetween(MAX_TRANSACTION_BYTES * 3 / 4, MAX_TRANSACTION_BYTES);
        assertThat(TestFixtures.LIMITS.maxComparedKeys()).isEqualTo(TestFixtures.LIMITS.conditions());
    }

    /** Guards against a queue that places nothing for good, since its placements exceed one transaction every time. */
    @Test
    void largeJobsOfAllTeamsArePlacedInSeveralTransactions() throws MalformedMessageException {
        addMachines(MACHINES);
        SchedulingContext context = context();
        for (int team = 0; team < TEAMS; team++) {
            accept(team, Priority.NORMAL, TASKS_PER_JOB, LARGE_TASK_CPUS);
        }
        BestEffortQueue queue = new BestEffortQueue(
                context,
                new ScavengerScheduler(context, 0.5),
                "perch-0",
                Duration.ofSeconds(3),
                new SplittableRandom(1),
                () -> machines,
                offers -> {});
        int transactions = 0;
        int waiting = MACHINES;
        while (waiting > 0 && transactions < 10) {
            Transaction transaction = newTransaction();
            queue.plan(transaction, PlanningContext.of(Instant.EPOCH, false, true));
            assertWithinLimits(transaction);
            TestFixtures.commit(clusterState, transaction, ++version);
            waiting = clusterState.jobs().stream()
                    .mapToInt(JobRecord::waitingTasks)
                    .sum();
            transactions++;
        }
        assertThat(waiting)
                .as("waiting tasks after %s transactions", transactions)
                .isZero();
    }

    /** Guards against a leader that commits nothing for good, since its preemptions exceed one transaction every time. */
    @Test
    void preemptionOfManyLargeJobsStaysWithinTheLimits() throws MalformedMessageException {
        int smallTasksPerMachine = 8;
        int victims = 8;
        addMachines(200);
        SchedulingContext context = context();
        for (int number = 0; number < victims; number++) {
            accept(number, Priority.NORMAL, TASKS_PER_JOB, LARGE_TASK_CPUS / smallTasksPerMachine);
            JobRecord job = clusterState.job(String.format("run-%06d", number));
            // One task of each job on every machine, so that each preemption changes all of these large records.
            clusterState.put(
                    StoreKeys.job(job.request().id()),
                    job.withPlacements(machines, TestFixtures.WALL_CLOCK_TIME)
                            .withPlacements(machines, TestFixtures.WALL_CLOCK_TIME.plusMillis(1)),
                    Count.of(++version));
            clusterState.advanceTo(Count.of(version));
        }
        accept(100, Priority.HIGH, 4, LARGE_TASK_CPUS);
        ReservedScheduler scheduler = new ReservedScheduler(context);
        Transaction transaction = newTransaction();
        scheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH));
        assertWithinLimits(transaction);
    }

    /** Guards against a leader that commits nothing for good, since it cordons more machines than one value holds. */
    @Test
    void cordonsOfALargeFleetFitIntoOneValue() throws MalformedMessageException {
        addMachines(MACHINES);
        SchedulingContext context = context();
        accept(1, Priority.NORMAL, TASKS_PER_JOB, LARGE_TASK_CPUS);
        JobRecord job = clusterState.job("run-000001");
        Set<String> cordoned = new LinkedHashSet<>();
        machines.subList(10, MACHINES).forEach(machine -> cordoned.add(machine.name()));
        clusterState.put(StoreKeys.CORDONED, new CordonedMachines(cordoned), Count.of(++version));
        for (int from = 0; from < MACHINES; from += TASKS_PER_JOB) {
            String id = String.format("run-%06d", 1000 + from);
            JobRecord stopping = JobRecord.accepted(
                            TestFixtures.request(id, "team-1", Priority.NORMAL, TASKS_PER_JOB, LARGE_TASK_CPUS),
                            "perch-0",
                            job.submittedAt())
                    .withPlacements(machines.subList(from, from + TASKS_PER_JOB), TestFixtures.WALL_CLOCK_TIME)
                    .withStopping(placement -> true);
            clusterState.put(StoreKeys.job(id), stopping, Count.of(++version));
        }
        clusterState.advanceTo(Count.of(version));
        accept(100, Priority.HIGH, 300, LARGE_TASK_CPUS);
        ReservedScheduler scheduler = new ReservedScheduler(context);
        Transaction transaction = newTransaction();
        scheduler.plan(transaction, TestFixtures.leaderContext(Instant.EPOCH.plusSeconds(60)));
        assertThat(transaction.changes()).containsKey(StoreKeys.CORDONED);
        assertWithinLimits(transaction);
    }
}
