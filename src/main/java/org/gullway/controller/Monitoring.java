package org.gullway.controller;

import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.Metrics;

/** The metrics and the monitor of invariants. */
record Monitoring(Metrics metrics, InvariantMonitor invariants) {
    static Monitoring create() {
        Metrics metrics = new Metrics();
        return new Monitoring(metrics, new InvariantMonitor(metrics));
    }
}
