/**
 * A cluster scheduler: one daemon on every controller. The classes of this package connect the decisions with the
 * sockets and the clock; all of them run on the thread of one event loop.
 */
package org.gullway;
