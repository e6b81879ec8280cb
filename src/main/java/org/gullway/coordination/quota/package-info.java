/** Team quotas: what is guaranteed, and the partitions on which controllers place independently of each other. */
package org.gullway.coordination.quota;
