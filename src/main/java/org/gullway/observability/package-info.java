/** Metrics, the log of leadership changes, and the monitor of invariants that are checked at run time. */
package org.gullway.observability;
