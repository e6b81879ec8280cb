/**
 * HTTP over sockets, and timers, independent of the scheduler. All callbacks run on the thread of one event loop and
 * must not block it.
 */
package org.gullway.transport;
