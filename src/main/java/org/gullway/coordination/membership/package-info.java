/** The controller's membership lease and its validity, and the detection of outages of the state store. */
package org.gullway.coordination.membership;
