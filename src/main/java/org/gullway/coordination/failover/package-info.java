/** Failover of the shards, job queues and attempts of lost controllers and machines, and balancing of shards. */
package org.gullway.coordination.failover;
