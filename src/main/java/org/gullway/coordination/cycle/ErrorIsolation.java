package org.gullway.coordination.cycle;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs steps of which an unforeseen exception must not keep the steps after them from running. */
public final class ErrorIsolation {
    private static final Logger LOG = LoggerFactory.getLogger(ErrorIsolation.class);

    private ErrorIsolation() {}

    /** Runs a step and logs its exception, if it throws one, with the name of the step. */
    public static void run(String step, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            LOG.error("scheduling cycle step failed step={}", step, e);
        }
    }
}
