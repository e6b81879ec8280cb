/** Failover of shards, queues and attempts of lost controllers and machines, and balancing afterwards. */
package org.gullway.coordination.failover;
