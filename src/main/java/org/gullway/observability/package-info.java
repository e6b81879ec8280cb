/** Metrics, the log of leadership changes, and assertions that are checked at run time. */
package org.gullway.observability;
