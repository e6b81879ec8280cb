/**
 * The records of the state store, this controller's replica of them, and the transactions that change them.
 *
 * <p>Records that are compared or hashed for each machine in each scheduling cycle implement {@code equals} and
 * {@code hashCode} explicitly, because the JVM links the default methods of a record at run time, on their first use,
 * which delays the start of a controller.
 */
package org.gullway.coordination.model;
