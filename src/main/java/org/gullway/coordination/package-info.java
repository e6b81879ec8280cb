/**
 * The scheduling decisions: which task runs on which machine, which commands agents get, and how many machines are
 * provisioned. Each subpackage has one concern.
 *
 * <p>No class here performs I/O or reads a clock. The current time is always a parameter, and decisions are written
 * into a {@link org.gullway.coordination.model.Transaction}, which takes effect once it is committed.
 */
package org.gullway.coordination;
