package org.gullway.coordination.cycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class CycleStepsTest {
    private final List<String> ran = new ArrayList<>();
    private Instant now = Instant.EPOCH;
    private final CycleSteps steps = new CycleSteps(Duration.ofMillis(100));

    private void add(String name, int millis) {
        steps.add(name, () -> {
            ran.add(name);
            now = now.plusMillis(millis);
        });
    }

    private List<String> round() {
        ran.clear();
        steps.run(now, () -> now);
        return List.copyOf(ran);
    }

    @Test
    void theNextRoundGoesOnWhereTheLastOneStopped() {
        add("a", 60);
        add("b", 60);
        add("c", 60);
        assertThat(round()).containsExactly("a", "b");
        assertThat(round()).containsExactly("c", "a");
        assertThat(round()).containsExactly("b", "c");
    }

    @Test
    void whatCameBeforeTheStepsUsesUpTheBudgetButOneStepRuns() {
        add("a", 10);
        add("b", 10);
        Instant began = now;
        now = now.plusMillis(150);
        steps.run(began, () -> now);
        assertThat(ran).containsExactly("a");
    }

    @Test
    void aRoundWithinItsBudgetRunsAllStepsFromTheFirst() {
        add("a", 10);
        add("b", 10);
        assertThat(round()).containsExactly("a", "b");
        assertThat(round()).containsExactly("a", "b");
    }

    @Test
    void aStepThatFailsDoesNotKeepTheOthersFromTheirWork() {
        steps.add("broken", () -> {
            throw new IllegalStateException("on purpose");
        });
        add("b", 1);
        assertThat(round()).containsExactly("b");
    }
}
