/**
 * Team quotas: the guaranteed quota of each team, and the quota partitions, within which each controller places tasks
 * without coordination with the other controllers.
 */
package org.gullway.coordination.quota;
