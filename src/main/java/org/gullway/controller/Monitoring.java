package org.gullway.controller;

import org.gullway.observability.InvariantMonitor;
import org.gullway.observability.Metrics;

/** The metrics, and the component that reports invariant violations. */
record Monitoring(Metrics metrics, InvariantMonitor invariantMonitor) {
    static Monitoring create() {
        Metrics metrics = new Metrics();
        return new Monitoring(metrics, new InvariantMonitor(metrics));
    }
}
