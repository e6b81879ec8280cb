package org.gullway.coordination.cycle;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the steps of a scheduling cycle within a time budget. A cycle that exceeds its budget ends after the current
 * step, and the next cycle resumes with the step after that one. After {@link #isolate}, each cycle runs one step, until
 * every step has had a cycle of its own.
 */
public final class CycleSteps {
    private static final Logger LOG = LoggerFactory.getLogger(CycleSteps.class);

    private final List<Step> steps = new ArrayList<>();
    private final Duration budget;
    private int nextStep;
    /** Number of further cycles that run one step each. */
    private int isolatedCycles;

    private record Step(String name, Runnable action) {}

    public CycleSteps(Duration budget) {
        this.budget = budget;
    }

    /** Appends a step to the cycle. Log lines identify the step by its name. */
    public CycleSteps add(String name, Runnable action) {
        steps.add(new Step(name, action));
        return this;
    }

    /** Makes the next cycles run one step each, until every step has had a cycle of its own. */
    public void isolate() {
        isolatedCycles = steps.size();
    }

    /**
     * Runs the steps in order, at least one per cycle. An exception thrown by a step is logged, and the remaining steps
     * still run.
     *
     * @param startedAt when the cycle started; work that precedes the steps counts against the time budget
     * @return the name of the step if it has this cycle to itself, see {@link #isolate}; empty otherwise
     */
    public Optional<String> run(Instant startedAt, InstantSource clock) {
        if (isolatedCycles > 0) {
            isolatedCycles--;
            return Optional.of(runNext());
        }
        runWithinBudget(startedAt, clock);
        return Optional.empty();
    }

    private String runNext() {
        Step step = steps.get(nextStep);
        nextStep = (nextStep + 1) % steps.size();
        run(step);
        return step.name();
    }

    private void runWithinBudget(Instant startedAt, InstantSource clock) {
        Instant deadline = startedAt.plus(budget);
        for (int completed = 0; completed < steps.size(); completed++) {
            Step step = steps.get((nextStep + completed) % steps.size());
            run(step);
            boolean isLast = completed + 1 == steps.size();
            if (!isLast && clock.instant().isAfter(deadline)) {
                nextStep = (nextStep + completed + 1) % steps.size();
                LOG.debug(
                        "scheduling cycle exceeded its time budget last_step={} budget_ms={}",
                        step.name(),
                        budget.toMillis());
                return;
            }
        }
        nextStep = 0;
    }

    private static void run(Step step) {
        ErrorIsolation.run(step.name(), step.action());
    }
}
