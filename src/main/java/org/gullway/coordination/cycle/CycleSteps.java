package org.gullway.coordination.cycle;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The steps of a scheduling cycle under a time budget. When the budget is used up the cycle ends, and the next one
 * continues with the step that would have come next.
 */
public final class CycleSteps {
    private static final Logger LOG = LoggerFactory.getLogger(CycleSteps.class);

    private final List<Step> steps = new ArrayList<>();
    private final Duration budget;
    private int nextStep;

    private record Step(String name, Runnable action) {}

    public CycleSteps(Duration budget) {
        this.budget = budget;
    }

    /** Appends a step; the name identifies it in the log. */
    public CycleSteps add(String name, Runnable action) {
        steps.add(new Step(name, action));
        return this;
    }

    /**
     * Runs the steps in turn, at least one. A step that fails does not prevent the others.
     *
     * @param startedAt when the cycle started: what came before the steps counts against the budget too
     */
    public void run(Instant startedAt, InstantSource clock) {
        Instant deadline = startedAt.plus(budget);
        for (int done = 0; done < steps.size(); done++) {
            Step step = steps.get((nextStep + done) % steps.size());
            run(step);
            boolean isLast = done + 1 == steps.size();
            if (!isLast && clock.instant().isAfter(deadline)) {
                nextStep = (nextStep + done + 1) % steps.size();
                LOG.debug("the time budget of the scheduling cycle is used up last_step={}", step.name());
                return;
            }
        }
        nextStep = 0;
    }

    private static void run(Step step) {
        try {
            step.action().run();
        } catch (RuntimeException e) {
            LOG.error("a step of the scheduling cycle failed step={}", step.name(), e);
        }
    }
}
