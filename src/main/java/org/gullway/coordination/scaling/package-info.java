/**
 * Sizing of the fleet by the leader: which machines to provision, to drain and to release. Calls of the cloud provider
 * are made elsewhere, as planned here.
 */
package org.gullway.coordination.scaling;
