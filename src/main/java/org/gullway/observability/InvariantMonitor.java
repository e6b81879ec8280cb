package org.gullway.observability;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports assertions that failed at run time: each failure is a defect of this program and was stopped before it did harm. */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);

    private final Metrics metrics;
    private Consumer<String> listener = violation -> {};

    public InvariantMonitor(Metrics metrics) {
        this.metrics = metrics;
    }

    /** From now on is told of every violation too. */
    public void addListener(Consumer<String> told) {
        listener = told;
    }

    /** Counts and logs a violation. */
    public void onViolation(String description) {
        LOG.error("invariant violated: {}", description);
        metrics.invariantViolated();
        listener.accept(description);
    }
}
