/**
 * A cluster scheduler, which runs as one daemon on every controller. All code of a running controller is executed by the
 * thread of a single event loop; see docs/architecture.md.
 */
package org.gullway;
