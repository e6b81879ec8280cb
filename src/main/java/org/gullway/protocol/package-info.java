/**
 * Messages of users, agents, the cloud and the other controllers, with their names on the wire and their limits. Bodies
 * that are not of the stated form are reported as {@link org.gullway.protocol.MalformedMessageException}.
 */
package org.gullway.protocol;
