/**
 * HTTP over sockets, timers, and limits on sockets and request rates. Depends on no other package of the system. All
 * callbacks run on the thread of one event loop and must not block it.
 */
package org.gullway.transport;
