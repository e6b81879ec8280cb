/**
 * The records of the state store, this controller's replica of them, and the transactions that change them.
 *
 * <p>{@link AttemptId}, {@link Incarnation} and {@link Placement}, which are compared or hashed for each machine in
 * each scheduling cycle, implement {@code equals} and {@code hashCode} explicitly. The methods that the compiler
 * generates for a record are linked by the JVM at run time, when they are first called. This would delay the first
 * scheduling cycle, and so the start of a controller. {@link MachineRecord} overrides only {@code hashCode}, to make it
 * faster.
 */
package org.gullway.coordination.model;
