/**
 * Team quotas: the guaranteed quota of each team, and the partitions of the quotas, on which the controllers place tasks
 * independently of each other.
 */
package org.gullway.coordination.quota;
