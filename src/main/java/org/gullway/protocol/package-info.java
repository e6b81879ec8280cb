/**
 * Settings, and the messages exchanged with users, agents, the cloud provider and peers, with their field names and
 * limits. A malformed message causes a {@link org.gullway.protocol.MalformedMessageException}.
 */
package org.gullway.protocol;
