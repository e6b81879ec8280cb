/** Sizing of the fleet: which machines to provision, to drain and to release. */
package org.gullway.coordination.scaling;
