package org.gullway.coordination.cycle;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The steps of a round of decisions under a budget of time. When the budget is used up the round ends, and the next
 * one goes on with the step that would have come next.
 */
public final class CycleSteps {
    private static final Logger LOG = LoggerFactory.getLogger(CycleSteps.class);

    private record Step(String name, Runnable action) {}

    private final List<Step> steps = new ArrayList<>();
    private final Duration budget;
    private int next;

    public CycleSteps(Duration budget) {
        this.budget = budget;
    }

    public CycleSteps add(String name, Runnable action) {
        steps.add(new Step(name, action));
        return this;
    }

    /**
     * Runs the steps in turn, at least one; one that fails must not keep the others from their work.
     *
     * @param began when the round began: what came before the steps uses up the budget too
     */
    public void run(Instant began, InstantSource clock) {
        Instant end = began.plus(budget);
        for (int done = 0; done < steps.size(); done++) {
            Step step = steps.get((next + done) % steps.size());
            try {
                step.action().run();
            } catch (RuntimeException e) {
                LOG.error("the step {} of a round failed", step.name(), e);
            }
            if (done + 1 < steps.size() && clock.instant().isAfter(end)) {
                next = (next + done + 1) % steps.size();
                LOG.debug("the round ends after the step {}", step.name());
                return;
            }
        }
        next = 0;
    }
}
