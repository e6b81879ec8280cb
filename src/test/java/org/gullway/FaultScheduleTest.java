package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Checks that a seed always gives the same schedule of faults, sorted by time and within the given bounds. */
class FaultScheduleTest {
    private static final Duration FROM = Duration.ofSeconds(3);
    private static final Duration TO = Duration.ofSeconds(43);

    private static List<FaultSchedule.Fault> schedule(long seed) {
        return FaultSchedule.of(seed, FROM, TO, Duration.ofSeconds(1));
    }

    @Property(tries = 200, seed = "251")
    void aSeedAlwaysGivesTheSameSchedule(@ForAll long seed) {
        List<FaultSchedule.Fault> faults = schedule(seed);
        assertThat(faults).hasSizeGreaterThanOrEqualTo(40);
        assertThat(faults).isSortedAccordingTo(Comparator.comparing(FaultSchedule.Fault::at));
        assertThat(faults)
                .allMatch(fault -> fault.at().compareTo(FROM) >= 0 && fault.at().compareTo(TO) < 0);
        assertThat(schedule(seed))
                .extracting(Object::toString)
                .isEqualTo(faults.stream().map(Object::toString).toList());
    }
}
