/** Command batches for agents, and their outcomes. */
package org.gullway.coordination.command;
