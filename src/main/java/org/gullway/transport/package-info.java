/**
 * Sockets, HTTP and timers, without knowledge of the scheduler. Everything runs on the thread of one event loop, which
 * no callback may block.
 */
package org.gullway.transport;
