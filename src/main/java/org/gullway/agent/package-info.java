/** Communication with the agents on machines: their heartbeats are admitted and answered, commands are sent. */
package org.gullway.agent;
