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

    private List<String> runCycle() {
        ran.clear();
        steps.run(now, () -> now);
        return List.copyOf(ran);
    }

    @Test
    void nextCycleResumesAfterTheStepThatExceededTheBudget() {
        add("a", 60);
        add("b", 60);
        add("c", 60);
        assertThat(runCycle()).containsExactly("a", "b");
        assertThat(runCycle()).containsExactly("c", "a");
        assertThat(runCycle()).containsExactly("b", "c");
    }

    @Test
    void runsOneStepWhenTheBudgetIsSpentBeforeTheFirstStep() {
        add("a", 10);
        add("b", 10);
        Instant startedAt = now;
        now = now.plusMillis(150);
        steps.run(startedAt, () -> now);
        assertThat(ran).containsExactly("a");
    }

    @Test
    void cycleWithinItsBudgetRunsAllStepsInOrder() {
        add("a", 10);
        add("b", 10);
        assertThat(runCycle()).containsExactly("a", "b");
        assertThat(runCycle()).containsExactly("a", "b");
    }

    /** Guards against a step that stays without a cycle of its own, or cycles of one step that never end. */
    @Test
    void everyStepHasACycleOfItsOwnAfterIsolation() {
        add("a", 60);
        add("b", 60);
        add("c", 10);
        assertThat(runCycle()).containsExactly("a", "b");
        steps.isolate();
        assertThat(runCycle()).containsExactly("c");
        assertThat(runCycle()).containsExactly("a");
        assertThat(steps.run(now, () -> now)).contains("b");
        assertThat(runCycle()).containsExactly("c", "a", "b");
        assertThat(steps.run(now, () -> now)).isEmpty();
    }

    @Test
    void remainingStepsRunAfterAStepThrows() {
        steps.add("failing", () -> {
            throw new IllegalStateException("expected test failure");
        });
        add("b", 1);
        assertThat(runCycle()).containsExactly("b");
    }
}
