/** Membership of controllers: how long a lease is valid, and whether all members have lost the state store. */
package org.gullway.coordination.membership;
