package org.gullway.coordination.command;

/** The outcome of sending a command batch. */
public enum CommandOutcome {
    /** The agent responded, possibly by refusing the commands. */
    ANSWERED,
    /** This controller had no free socket, which says nothing about the agent. */
    NO_SOCKET,
    /** No connection to the agent could be opened, so it certainly received none of the commands. */
    NOT_SENT,
    /** The agent may have received the commands, or may still receive them. */
    UNKNOWN
}
