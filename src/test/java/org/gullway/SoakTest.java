package org.gullway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs {@link SoakRun} briefly with fixed seeds. Ignores violations that a stall of this process may have caused, since
 * the machine that runs the test may be slow.
 */
class SoakTest {
    private static final SoakRun.Durations SHORT = new SoakRun.Durations(Duration.ofSeconds(10), Duration.ofSeconds(4));

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void invariantsHoldForProcessesUnderFaults(long seed) throws Exception {
        SoakRun.Outcome outcome = SoakRun.run(seed, SHORT);
        System.out.println(outcome);
        assertThat(outcome.violationsNotCausedByStalls())
                .as(outcome.failureReport())
                .isEmpty();
        assertThat(ProcessHandle.current().children().filter(ProcessHandle::isAlive))
                .as("controller processes left after the run")
                .isEmpty();
        assertThat(outcome.starts()).as("tasks that started").isPositive();
    }
}
