/**
 * A cluster scheduler, which runs as one daemon process on every controller node. All components of a running
 * controller are executed by the thread of a single event loop; see docs/architecture.md.
 */
package org.gullway;
