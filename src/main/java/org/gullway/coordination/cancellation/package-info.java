/** Cancelled jobs: their tasks are stopped in time, and leases are renewed only as far as that allows. */
package org.gullway.coordination.cancellation;
