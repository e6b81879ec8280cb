package org.gullway.coordination.command;

/** What became of a batch of commands. */
public enum CommandOutcome {
    ANSWERED,
    /** This controller had no socket for it, which says nothing about the worker. */
    NO_SOCKET,
    NOT_SENT,
    /** The worker may have got it, or may still get it. */
    UNKNOWN
}
