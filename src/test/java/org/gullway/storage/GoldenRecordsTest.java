package org.gullway.storage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.stream.Stream;
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
import org.gullway.golden.GoldenFile;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.Count;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Records that an earlier version stored can be decoded, and are encoded again to the same bytes. */
class GoldenRecordsTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("records");
    private static final Instant SUBMITTED = Instant.parse("2026-11-20T06:00:00.123Z");
    private static final Incarnation CONTROLLER = new Incarnation("perch-1", 7_654_321_098_765L);

    /** A record with its key and the name of its golden entry. */
    record Sample(String name, String key, StoreRecord value) {
        @Override
        public String toString() {
            return name;
        }
    }

    /**
     * Builds a request, whose optional fields have values if {@code allFields} is true. The exception is the flag
     * {@code spreadAcrossZones}, which is set if {@code allFields} is false, so that both values occur.
     */
    private static JobRequest request(JobRequest.Shape shape, Priority priority, boolean allFields) {
        return new JobRequest(
                "run-000412",
                "render",
                "red",
                shape,
                priority,
                300,
                1.5,
                allFields ? 1 : 0,
                6.25,
                "img-1",
                0.5,
                allFields ? List.of("small", "large") : null,
                allFields ? "a" : null,
                allFields,
                !allFields,
                allFields,
                Duration.ofMillis(12_500),
                allFields ? Duration.ofSeconds(20) : Duration.ZERO,
                allFields ? Duration.ofMillis(1500) : Duration.ZERO,
                allFields ? Duration.ofMinutes(2) : null);
    }

    private static Placement placement(
            int task, long attempt, String machine, boolean stopping, long millisSinceSubmission) {
        return new Placement(
                task, Count.of(attempt), machine, Count.of(3), stopping, SUBMITTED.plusMillis(millisSinceSubmission));
    }

    private static JobRecord job(JobRequest request, String owner, Instant cancelledAt, List<Placement> live) {
        return new JobRecord(
                request, owner, SUBMITTED, cancelledAt, IntegerRanges.of(0, 4, 9, 9, 20, 31), Count.of(40), 2, live);
    }

    /** A machine is a spot machine if its agent epoch is even, so that both kinds occur. */
    private static MachineRecord machine(
            String name, String address, long agentEpoch, MachineRecord.MachineLifecycle lifecycle) {
        return new MachineRecord(
                name,
                address,
                "small",
                "a",
                agentEpoch % 2 == 0,
                CONTROLLER,
                Count.of(agentEpoch),
                Count.of(9),
                lifecycle,
                SUBMITTED);
    }

    private static MachineShard shard(String id, long fencingToken, List<MachineRecord> machines) {
        return new MachineShard(id, CONTROLLER, Count.of(fencingToken), machines);
    }

    private static String jobKey() {
        return StoreKeys.job("run-000412");
    }

    static Stream<Sample> samples() {
        List<Sample> samples = new ArrayList<>();
        for (JobRequest.Shape shape : JobRequest.Shape.values()) {
            for (Priority priority : Priority.values()) {
                for (boolean allFields : new boolean[] {false, true}) {
                    String name = "job-" + GoldenFile.position(shape) + "-" + GoldenFile.position(priority)
                            + (allFields ? "-all" : "-least");
                    samples.add(new Sample(
                            name,
                            jobKey(),
                            JobRecord.accepted(
                                    request(shape, priority, allFields), allFields ? "perch-0" : null, SUBMITTED)));
                }
            }
        }
        JobRequest request = request(JobRequest.Shape.ARRAY, Priority.NORMAL, true);
        List<Placement> live = List.of(
                placement(5, 31, "vm-000001", false, 0),
                placement(6, 32, "vm-000001", true, 0),
                placement(7, 33, "vm-000001", false, 250),
                placement(299, 40, "vm-000002", true, 86_400_000));
        samples.add(new Sample("job-placed", jobKey(), job(request, "perch-2", null, live)));
        samples.add(new Sample("job-cancelled", jobKey(), job(request, null, SUBMITTED.plusMillis(4321), live)));
        List<MachineRecord> machines = new ArrayList<>();
        for (MachineRecord.MachineLifecycle lifecycle : MachineRecord.MachineLifecycle.values()) {
            machines.add(machine(
                    "vm-00001" + GoldenFile.position(lifecycle),
                    "10.1.0.1:9000",
                    2 + GoldenFile.position(lifecycle),
                    lifecycle));
        }
        machines.add(machine("vm-000020", null, 0, MachineRecord.MachineLifecycle.ACTIVE));
        samples.add(new Sample("group", StoreKeys.shard("g-1"), shard("g-1", 9, machines)));
        samples.add(new Sample("group-empty", StoreKeys.shard("g-2"), shard("g-2", 10, List.of())));
        QuotaPartition partition = QuotaPartition.EMPTY
                .with("red", new QuotaPartition.Amount(16.5, 2))
                .with("blue", new QuotaPartition.Amount(0.25, 0));
        samples.add(new Sample("share-leader", StoreKeys.LEADER_QUOTA, partition));
        samples.add(new Sample("share-node", StoreKeys.quotaPartition("perch-0"), partition));
        samples.add(new Sample("share-empty", StoreKeys.quotaPartition("perch-1"), QuotaPartition.EMPTY));
        samples.add(new Sample("member", StoreKeys.member("perch-1"), CONTROLLER));
        samples.add(new Sample("leader", StoreKeys.LEADER, CONTROLLER));
        samples.add(new Sample("epoch", StoreKeys.FENCING_TOKEN, new FencingToken(Count.of(4_294_967_300L))));
        samples.add(new Sample(
                "closed",
                StoreKeys.CORDONED,
                new CordonedMachines(new LinkedHashSet<>(List.of("vm-000003", "vm-000001")))));
        samples.add(new Sample("closed-empty", StoreKeys.CORDONED, new CordonedMachines(new LinkedHashSet<>())));
        for (JobState state : JobState.values()) {
            samples.add(new Sample(
                    "ended-" + state.wireName(), StoreKeys.finalState("run-000412"), new FinalState(state, 300, 17)));
        }
        return samples.stream();
    }

    private static StoreRecord decode(String key, byte[] stored) throws MalformedMessageException {
        JsonNode value = Cbor.decode(stored);
        return key.startsWith(StoreKeys.LIVE) ? RecordCodec.decode(key, value) : RecordCodec.decodeFinalState(value);
    }

    @ParameterizedTest
    @MethodSource("samples")
    void recordIsEncodedToGoldenBytes(Sample sample) {
        GOLDEN.check(sample.name(), Cbor.encode(RecordCodec.encode(sample.value())));
        GOLDEN.checkText(sample.name() + ".key", sample.key());
    }

    @ParameterizedTest
    @MethodSource("samples")
    void goldenBytesAreDecodedAndEncodedAgainUnchanged(Sample sample) throws MalformedMessageException {
        byte[] stored = GOLDEN.bytes(sample.name());
        StoreRecord decoded = decode(sample.key(), stored);
        assertThat(decoded).isEqualTo(sample.value());
        assertThat(Cbor.encode(RecordCodec.encode(decoded))).isEqualTo(stored);
    }
}
