/** Team quotas: guaranteed shares and the partitions that controllers place on independently. */
package org.gullway.coordination.quota;
