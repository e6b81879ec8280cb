package org.gullway.observability;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports invariants that are violated at run time. Each violation is a defect of this program whose consequence was
 * prevented.
 */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);

    private final Metrics metrics;
    private Consumer<String> listener = violation -> {};

    public InvariantMonitor(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Sets the listener that gets the description of every violation from now on. */
    public void setViolationListener(Consumer<String> newListener) {
        listener = newListener;
    }

    /** Counts and logs a violation. */
    public void onViolation(String description) {
        LOG.error("invariant violated description={}", description);
        metrics.invariantViolated();
        listener.accept(description);
    }
}
