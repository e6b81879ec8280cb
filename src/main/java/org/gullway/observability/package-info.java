/** Metrics, the log of leadership changes, and the reporting of invariant violations that are detected at run time. */
package org.gullway.observability;
