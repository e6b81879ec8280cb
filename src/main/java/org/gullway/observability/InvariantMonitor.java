package org.gullway.observability;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts violations of invariants that other components detect. A violation always indicates a bug in this
 * program. The component that detects it prevents its consequence, for example by withholding a command or a response.
 */
public final class InvariantMonitor {
    private static final Logger LOG = LoggerFactory.getLogger(InvariantMonitor.class);

    private final Metrics metrics;
    private Consumer<String> listener = violation -> {};

    public InvariantMonitor(Metrics metrics) {
        this.metrics = metrics;
    }

    /** Replaces the listener, which receives the description of every later violation. */
    public void setViolationListener(Consumer<String> newListener) {
        listener = newListener;
    }

    /** Logs and counts a violation, and passes its description to the listener. */
    public void reportViolation(String description) {
        LOG.error("invariant violated description={}", description);
        metrics.invariantViolated();
        listener.accept(description);
    }
}
