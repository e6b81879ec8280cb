/**
 * Enforces cancellations. Tasks of cancelled jobs are stopped within the cancellation limit, and agents' leases are
 * renewed only as far as that limit allows.
 */
package org.gullway.coordination.cancellation;
