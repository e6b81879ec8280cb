package org.gullway.bookkeeping;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gullway.coordination.ClosedMachines;
import org.gullway.coordination.Draft;
import org.gullway.coordination.Incarnation;
import org.gullway.coordination.JobRecord;
import org.gullway.coordination.Keys;
import org.gullway.coordination.MachineRecord;
import org.gullway.coordination.Placement;
import org.gullway.coordination.Ranges;
import org.gullway.coordination.Samples;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedException;
import org.gullway.protocol.Rank;
import org.junit.jupiter.api.Test;

class RecordCodecTest {
    private static Object through(String key, Object value) throws MalformedException {
        return RecordCodec.decode(key, Cbor.decode(Cbor.encode(RecordCodec.encode(value))));
    }

    @Property(tries = 300, seed = "5")
    void jobsSurviveTheStoreAndKeepTheirBound(@ForAll long seed) throws MalformedException {
        SplittableRandom random = new SplittableRandom(seed);
        Ranges done = Ranges.EMPTY;
        for (int i = random.nextInt(40); i > 0; i--) {
            done = done.with(random.nextInt(1000));
        }
        List<Placement> live = new ArrayList<>();
        for (int i = random.nextInt(60); i > 0; i--) {
            live.add(new Placement(random.nextInt(100_000), random.nextLong(1L << 40), "vm-" + random.nextInt(1_000_000),
                    random.nextInt(100), random.nextBoolean(), Instant.ofEpochMilli(random.nextLong(1L << 41))));
        }
        JobRecord job = new JobRecord(Samples.request("run-000001", "red", Rank.HIGH, 100_000, 4),
                random.nextBoolean() ? "perch-1" : null, Instant.ofEpochMilli(random.nextLong(1L << 41)),
                random.nextBoolean(), done, random.nextLong(1L << 40), random.nextInt(10), live);
        assertThat(through(Keys.job("run-000001"), job)).isEqualTo(job);
        assertThat(RecordCodec.encode(job).toString().length()).isLessThanOrEqualTo(job.bytes());
    }

    @Test
    void otherRecordsSurviveTheStore() throws MalformedException {
        Incarnation incarnation = new Incarnation("perch-0", Long.MAX_VALUE);
        MachineRecord booting = MachineRecord.booting("vm-1", "small", "a", true, Samples.DAY);
        for (MachineRecord machine : List.of(booting, booting.claimed(incarnation, "10.1.0.1:9000", 3, 7),
                booting.meant(MachineRecord.Fate.LOST))) {
            assertThat(through(Keys.machine("vm-1"), machine)).isEqualTo(machine);
        }
        assertThat(through(Keys.LEADER, incarnation)).isEqualTo(incarnation);
        assertThat(through(Keys.member("perch-0"), incarnation)).isEqualTo(incarnation);
        assertThat(through(Keys.EPOCH, 41L)).isEqualTo(41L);
        assertThat(through(Keys.CLOSED, new ClosedMachines(Set.of("vm-1")))).isEqualTo(new ClosedMachines(Set.of("vm-1")));
        assertThat(through(Keys.team("red"), new Draft.TeamTurn(incarnation))).isEqualTo(new Draft.TeamTurn(incarnation));
        Draft.Ended ended = new Draft.Ended(JobState.DONE, 4, 4);
        assertThat(RecordCodec.ended(RecordCodec.encode(ended))).isEqualTo(ended);
    }
}
