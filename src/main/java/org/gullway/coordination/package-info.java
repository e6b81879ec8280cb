/**
 * The scheduling decisions: which task runs on which machine, what workers are told, and how many machines are rented.
 *
 * <p>No class here does input or output or reads a clock: the present moment is always a parameter, and decisions go into a
 * {@link org.gullway.coordination.model.Transaction}, which takes effect once it is committed.
 */
package org.gullway.coordination;
