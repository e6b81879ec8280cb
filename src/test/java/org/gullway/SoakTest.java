package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The short form of {@link SoakRun}: fixed seeds, and only violations that no slowness of this machine can cause. */
class SoakTest {
    private static final SoakRun.Length SHORT = new SoakRun.Length(Duration.ofSeconds(10), Duration.ofSeconds(4));

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void invariantsHoldForProcessesUnderFaults(long seed) throws Exception {
        SoakRun.Outcome outcome = SoakRun.play(seed, SHORT);
        System.out.println(outcome);
        assertThat(outcome.certainViolations()).as(outcome.failureReport()).isEmpty();
        assertThat(ProcessHandle.current().children().filter(ProcessHandle::isAlive))
                .as("processes that still run")
                .isEmpty();
        assertThat(outcome.starts()).as("tasks that started").isPositive();
    }
}
