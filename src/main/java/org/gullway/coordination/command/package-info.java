/** Batches of commands to agents and their outcomes. */
package org.gullway.coordination.command;
