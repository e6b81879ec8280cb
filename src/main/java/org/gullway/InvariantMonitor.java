package org.gullway;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reports assertions that failed at run time: each failure is a defect of this program and was stopped before it did harm. */
final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);

    private final Metrics metrics;
    private Consumer<String> listener = violation -> {};

    InvariantMonitor(Metrics metrics) {
        this.metrics = metrics;
    }

    /** From now on is told of every violation too. */
    void listen(Consumer<String> told) {
        listener = told;
    }

    /** Counts and logs a violation. */
    void violated(String description) {
        LOG.error("invariant violated: {}", description);
        metrics.invariantViolated();
        listener.accept(description);
    }
}
