/**
 * Sizing of the fleet by the leader: decides which machines to provision, to drain and to release. The package
 * {@code org.gullway.cloud} sends the requests to the cloud provider.
 */
package org.gullway.coordination.scaling;
