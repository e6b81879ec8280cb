/**
 * The scheduling decisions: which task runs on which machine, which commands agents get, and how many machines are
 * provisioned. Each package below this one has one concern.
 *
 * <p>No class here does input or output or reads a clock: the present moment is always a parameter, and decisions go into a
 * {@link org.gullway.coordination.model.Transaction}, which takes effect once it is committed.
 */
package org.gullway.coordination;
