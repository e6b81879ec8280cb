package org.gullway.coordination.command;

/** What is known of a batch of commands after it was sent. */
public enum CommandOutcome {
    /** The agent has responded, be it to refuse the commands. */
    ANSWERED,
    /** This controller had no free socket, which says nothing about the agent. */
    NO_SOCKET,
    /** The agent could not be connected to, so it certainly got none of the commands. */
    NOT_SENT,
    /** The agent may have got the commands, or may still get them. */
    UNKNOWN
}
