/** Communicates with the agents on the machines: admits and answers their heartbeats, and sends them commands. */
package org.gullway.agent;
