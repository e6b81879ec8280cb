/**
 * A cluster scheduler: one daemon on every controller. All code of a running controller is executed by the thread of one
 * event loop; see docs/architecture.md.
 */
package org.gullway;
