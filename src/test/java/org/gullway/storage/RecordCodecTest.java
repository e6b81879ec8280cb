package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.coordination.model.FencingToken;
import org.gullway.coordination.model.FinalState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.IntegerRanges;
import org.gullway.coordination.model.JobRecord;
import org.gullway.coordination.model.MachineRecord;
import org.gullway.coordination.model.MachineShard;
import org.gullway.coordination.model.Placement;
import org.gullway.coordination.model.QuotaPartition;
import org.gullway.coordination.model.StoreKeys;
import org.gullway.coordination.model.StoreRecord;
import org.gullway.coordination.model.TestFixtures;
import org.gullway.coordination.model.Transaction;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Records are decoded as they were encoded, and encoded jobs stay within their size bounds. */
class RecordCodecTest {
    private static StoreRecord roundTrip(String key, StoreRecord value) throws MalformedMessageException {
        return RecordCodec.decode(key, Cbor.decode(Cbor.encode(RecordCodec.encode(value))));
    }

    /** The length of a job's JSON text must not exceed {@link JobRecord#maxEncodedBytes()}. */
    @Property(tries = 300, seed = "5")
    void jobRoundTripStaysWithinEstimatedEncodedBytes(@ForAll long seed) throws MalformedMessageException {
        SplittableRandom random = new SplittableRandom(seed);
        IntegerRanges completed = IntegerRanges.EMPTY;
        for (int i = random.nextInt(40); i > 0; i--) {
            completed = completed.with(random.nextInt(100_000));
        }
        boolean allStopping = random.nextInt(3) == 0;
        Map<Integer, Placement> live = new TreeMap<>();
        Instant submitted = Instant.ofEpochMilli(random.nextLong(1L << 41));
        for (int i = random.nextInt(400); i > 0; i--) {
            int task = random.nextInt(100_000);
            live.put(
                    task,
                    new Placement(
                            task,
                            Count.of(random.nextLong(1L << random.nextInt(1, 63))),
                            "vm-" + random.nextInt(1_000_000),
                            Count.of(1 + random.nextLong(1L << random.nextInt(1, 63))),
                            allStopping || random.nextInt(9) == 0,
                            submitted.plusMillis(random.nextLong(1L << random.nextInt(1, 40)))));
        }
        JobRecord job = new JobRecord(
                TestFixtures.request("run-000001", "red", Priority.HIGH, 100_000, 4),
                random.nextBoolean() ? "perch-1" : null,
                submitted,
                random.nextBoolean() ? submitted.plusMillis(random.nextInt(1_000_000)) : null,
                completed,
                Count.of(random.nextLong(1L << 40)),
                random.nextInt(10),
                List.copyOf(live.values()));
        JobRecord read = (JobRecord) roundTrip(StoreKeys.job("run-000001"), job);
        assertThat(read.livePlacements()).containsExactlyInAnyOrderElementsOf(job.livePlacements());
        assertThat(read).usingRecursiveComparison().isEqualTo(job);
        assertThat(RecordCodec.encode(job).toString().length()).isLessThanOrEqualTo(job.maxEncodedBytes());
    }

    /** Guards against records that outgrow their bound without a new placement, so that the store rejects them. */
    @Test
    void cancelledJobsWithLongTextsAndStoppedPlacementsStayWithinTheirBound() {
        String longText = "\u0001".repeat(200);
        JobRequest request = new JobRequest(
                "run-" + "9".repeat(18),
                longText,
                longText,
                JobRequest.Shape.SERVICE,
                Priority.NORMAL,
                JobRequest.MAX_TASKS,
                Double.MIN_NORMAL,
                Double.MIN_NORMAL,
                Double.MIN_NORMAL,
                longText,
                Double.MIN_NORMAL,
                List.of(longText, "small"),
                longText,
                false,
                false,
                false,
                Duration.ofNanos(123_456_789_123_456_789L),
                Duration.ofNanos(123_456_789_123_456_789L),
                Duration.ofNanos(123_456_789_123_456_789L),
                Duration.ofNanos(123_456_789_123_456_789L));
        assertThat(request.toNode().toString().length()).isLessThanOrEqualTo(request.maxJsonBytes());
        JobRecord job = JobRecord.accepted(request, null, TestFixtures.WALL_CLOCK_TIME)
                .withPlacements(
                        List.of(TestFixtures.machine("vm-000001", "large", TestFixtures.SELF)),
                        TestFixtures.WALL_CLOCK_TIME.plusSeconds(1));
        JobRecord grown = job.withStopping(placement -> true)
                .withOwner("perch-2.of-a-long-name")
                .withCancellation(TestFixtures.WALL_CLOCK_TIME.plusSeconds(9));
        assertThat(RecordCodec.encode(grown).toString().length()).isLessThanOrEqualTo(job.maxEncodedBytes());
    }

    /** Returns any count except zero; half of them do not fit into a signed long. */
    private static Count randomCount(SplittableRandom random) {
        long bits = random.nextLong();
        return Count.ofUnsignedBits(bits == 0 ? 1 : bits);
    }

    /** Guards against transactions that exceed the store's limit because a record is larger than counted. */
    @Property(tries = 100, seed = "57")
    void otherRecordsStayWithinTheirBounds(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        String name = "vm-" + "é".repeat(random.nextInt(30)) + random.nextLong(Long.MAX_VALUE);
        Incarnation incarnation = new Incarnation(name, random.nextLong(Long.MAX_VALUE));
        List<MachineRecord> machines = new ArrayList<>();
        QuotaPartition partition = QuotaPartition.EMPTY;
        Set<String> cordoned = new LinkedHashSet<>();
        for (int i = random.nextInt(40); i > 0; i--) {
            machines.add(MachineRecord.booting(
                            name + i, name, name, true, TestFixtures.WALL_CLOCK_TIME, incarnation, Count.MAX)
                    .withAgentEpoch(randomCount(random), random.nextBoolean() ? null : name)
                    .withLifecycle(MachineRecord.MachineLifecycle.DRAINING));
            partition = partition.with(name + i, new QuotaPartition.Amount(random.nextDouble(), random.nextDouble()));
            cordoned.add(name + i);
        }
        List<StoreRecord> records = List.of(
                incarnation,
                new MachineShard("g-1", incarnation, randomCount(random), machines),
                partition,
                new CordonedMachines(cordoned),
                new FencingToken(randomCount(random)),
                new FinalState(JobState.CANCELLED, JobRequest.MAX_TASKS, JobRequest.MAX_TASKS));
        assertThat(records).allSatisfy(record -> assertThat(
                        RecordCodec.encode(record).toString().length())
                .isLessThanOrEqualTo(record.maxEncodedBytes()));
    }

    /**
     * By the size bound, the record of a job without placements has room for its 400 tasks within 16 KiB. The bound has
     * the same number of bytes for each placement, even if every placement is on a different machine.
     */
    @Test
    void fourHundredPlacementsFitIntoOneRecord() {
        ClusterState clusterState = TestFixtures.clusterState();
        TestFixtures.put(clusterState, TestFixtures.machine("vm-000001", "large", TestFixtures.SELF), 10);
        JobRecord job = JobRecord.accepted(
                TestFixtures.request("run-000001", "red", Priority.HIGH, 400, 4), null, TestFixtures.WALL_CLOCK_TIME);
        Transaction transaction = new Transaction(
                clusterState,
                TestFixtures.SELF,
                TestFixtures.LIMITS,
                TestFixtures.WALL_CLOCK_TIME.plus(Duration.ofHours(2)));
        assertThat(transaction.placeableTasks(job)).isGreaterThanOrEqualTo(400);
    }

    @Test
    void otherRecordsAreDecodedAsEncoded() throws MalformedMessageException {
        Incarnation incarnation = new Incarnation("perch-0", Long.MAX_VALUE);
        MachineRecord booting = MachineRecord.booting(
                "vm-1", "small", "a", true, TestFixtures.WALL_CLOCK_TIME, incarnation, Count.of(7));
        MachineShard shard = new MachineShard(
                "g-1",
                incarnation,
                Count.of(7),
                List.of(
                        booting,
                        booting.withAgentEpoch(Count.of(3), "10.1.0.1:9000"),
                        booting.withLifecycle(MachineRecord.MachineLifecycle.LOST)));
        assertThat(roundTrip(StoreKeys.shard("g-1"), shard)).isEqualTo(shard);
        QuotaPartition partition = QuotaPartition.EMPTY.with("red", new QuotaPartition.Amount(16.5, 2));
        assertThat(roundTrip(StoreKeys.LEADER_QUOTA, partition)).isEqualTo(partition);
        assertThat(roundTrip(StoreKeys.LEADER, incarnation)).isEqualTo(incarnation);
        assertThat(roundTrip(StoreKeys.member("perch-0"), incarnation)).isEqualTo(incarnation);
        assertThat(roundTrip(StoreKeys.FENCING_TOKEN, new FencingToken(Count.of(41))))
                .isEqualTo(new FencingToken(Count.of(41)));
        assertThat(roundTrip(StoreKeys.CORDONED, new CordonedMachines(Set.of("vm-1"))))
                .isEqualTo(new CordonedMachines(Set.of("vm-1")));
        FinalState finalState = new FinalState(JobState.DONE, 4, 4);
        assertThat(RecordCodec.decodeFinalState(RecordCodec.encode(finalState))).isEqualTo(finalState);
    }

    @Test
    void errorOfMalformedRecordNamesKeyAndField() {
        ObjectNode token = Cbor.map().put("epoch", "high");
        assertThatThrownBy(() -> RecordCodec.decode(StoreKeys.FENCING_TOKEN, token))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessage("live/epoch: epoch is not an integer from 0 to 2^64 - 1");
        ObjectNode shard = Cbor.map().put("epoch", 3);
        shard.putObject("controller").put("node", "perch-0").put("number", 17);
        shard.putArray("machines").addArray().add("vm-1");
        assertThatThrownBy(() -> RecordCodec.decode(StoreKeys.shard("g-1"), shard))
                .isInstanceOf(MalformedMessageException.class)
                .hasMessageStartingWith("live/groups/g-1: machines: unknown lifecycle")
                .hasMessageContaining("vm-1");
    }

    @Test
    void keyOfUnknownTypeIsDecodedToNull() throws MalformedMessageException {
        assertThat(RecordCodec.decode("live/other", Cbor.map())).isNull();
    }
}
