package org.gullway.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.stream.Stream;
import org.gullway.coordination.AllotmentRecord;
import org.gullway.coordination.ClosedMachines;
import org.gullway.coordination.GroupRecord;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.IntegerRanges;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.Placement;
import org.gullway.coordination.Transaction;
import org.gullway.golden.GoldenFile;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Rank;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Records that an earlier version stored are still read, and written again byte for byte. */
class GoldenRecordsTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("records");
    private static final Instant SUBMITTED = Instant.parse("2026-11-20T06:00:00.123Z");
    private static final Incarnation CONTROLLER = new Incarnation("perch-1", 7_654_321_098_765L);

    /** A record under its key. */
    record Sample(String name, String key, Object value) {
        @Override
        public String toString() {
            return name;
        }
    }

    private static JobRequest request(JobRequest.Shape shape, Rank rank, boolean optional) {
        return new JobRequest(
                "run-000412",
                "render",
                "red",
                shape,
                rank,
                300,
                1.5,
                optional ? 1 : 0,
                6.25,
                "img-1",
                0.5,
                optional ? List.of("small", "large") : null,
                optional ? "a" : null,
                optional,
                !optional,
                optional,
                Duration.ofMillis(12_500),
                optional ? Duration.ofSeconds(20) : Duration.ZERO,
                optional ? Duration.ofMillis(1500) : Duration.ZERO,
                optional ? Duration.ofMinutes(2) : null);
    }

    private static Placement placement(int task, long attempt, String machine, boolean stopping, long sinceMillis) {
        return new Placement(task, attempt, machine, 3, stopping, SUBMITTED.plusMillis(sinceMillis));
    }

    private static JobRecord job(JobRequest request, String owner, Instant cancelledAt, List<Placement> live) {
        return new JobRecord(request, owner, SUBMITTED, cancelledAt, IntegerRanges.of(0, 4, 9, 9, 20, 31), 40, 2, live);
    }

    private static MachineRecord machine(String name, String address, long session, MachineRecord.Disposition fate) {
        return new MachineRecord(
                name, address, "small", "a", session % 2 == 0, CONTROLLER, session, 9, fate, SUBMITTED);
    }

    private static String key() {
        return Keys.job("run-000412");
    }

    static Stream<Sample> samples() {
        List<Sample> samples = new ArrayList<>();
        for (JobRequest.Shape shape : JobRequest.Shape.values()) {
            for (Rank rank : Rank.values()) {
                for (boolean optional : new boolean[] {false, true}) {
                    String name = "job-" + shape.ordinal() + "-" + rank.ordinal() + (optional ? "-all" : "-least");
                    samples.add(new Sample(
                            name,
                            key(),
                            JobRecord.accepted(
                                    request(shape, rank, optional), optional ? "perch-0" : null, SUBMITTED)));
                }
            }
        }
        JobRequest request = request(JobRequest.Shape.ARRAY, Rank.NORMAL, true);
        List<Placement> live = List.of(
                placement(5, 31, "vm-000001", false, 0),
                placement(6, 32, "vm-000001", true, 0),
                placement(7, 33, "vm-000001", false, 250),
                placement(299, 40, "vm-000002", true, 86_400_000));
        samples.add(new Sample("job-placed", key(), job(request, "perch-2", null, live)));
        samples.add(new Sample("job-cancelled", key(), job(request, null, SUBMITTED.plusMillis(4321), live)));
        List<MachineRecord> machines = new ArrayList<>();
        for (MachineRecord.Disposition fate : MachineRecord.Disposition.values()) {
            machines.add(machine("vm-00001" + fate.ordinal(), "10.1.0.1:9000", 2 + fate.ordinal(), fate));
        }
        machines.add(machine("vm-000020", null, 0, MachineRecord.Disposition.values()[0]));
        samples.add(new Sample("group", Keys.group("g-1"), new GroupRecord("g-1", CONTROLLER, 9, machines)));
        samples.add(new Sample("group-empty", Keys.group("g-2"), new GroupRecord("g-2", CONTROLLER, 10, List.of())));
        AllotmentRecord share = AllotmentRecord.EMPTY
                .with("red", new AllotmentRecord.Amount(16.5, 2))
                .with("blue", new AllotmentRecord.Amount(0.25, 0));
        samples.add(new Sample("share-leader", Keys.LEADERS_SHARE, share));
        samples.add(new Sample("share-node", Keys.share("perch-0"), share));
        samples.add(new Sample("share-empty", Keys.share("perch-1"), AllotmentRecord.EMPTY));
        samples.add(new Sample("member", Keys.member("perch-1"), CONTROLLER));
        samples.add(new Sample("leader", Keys.LEADER, CONTROLLER));
        samples.add(new Sample("epoch", Keys.EPOCH, 4_294_967_300L));
        samples.add(new Sample(
                "closed", Keys.CLOSED, new ClosedMachines(new LinkedHashSet<>(List.of("vm-000003", "vm-000001")))));
        samples.add(new Sample("closed-empty", Keys.CLOSED, new ClosedMachines(new LinkedHashSet<>())));
        for (JobState state : JobState.values()) {
            samples.add(new Sample(
                    "ended-" + state.wire(), Keys.ended("run-000412"), new Transaction.Ended(state, 300, 17)));
        }
        return samples.stream();
    }

    private static Object decode(String key, byte[] stored) throws MalformedException {
        JsonNode value = Cbor.decode(stored);
        return key.startsWith(Keys.LIVE) ? RecordCodec.decode(key, value) : RecordCodec.ended(value);
    }

    @ParameterizedTest
    @MethodSource("samples")
    void aRecordIsWrittenAsBefore(Sample sample) {
        GOLDEN.check(sample.name(), Cbor.encode(RecordCodec.encode(sample.value())));
        GOLDEN.checkText(sample.name() + ".key", sample.key());
    }

    @ParameterizedTest
    @MethodSource("samples")
    void aStoredRecordIsReadAndWrittenAgain(Sample sample) throws MalformedException {
        byte[] stored = GOLDEN.bytes(sample.name());
        Object read = decode(sample.key(), stored);
        assertThat(read).isEqualTo(sample.value());
        assertThat(Cbor.encode(RecordCodec.encode(read))).isEqualTo(stored);
    }
}
