/**
 * Enforcement of cancellations: the tasks of cancelled jobs are stopped within the cancellation limit, and the leases of
 * agents are renewed only as far as that limit allows.
 */
package org.gullway.coordination.cancellation;
