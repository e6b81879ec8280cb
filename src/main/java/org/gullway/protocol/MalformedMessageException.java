package org.gullway.protocol;

/**
 * Thrown if a message or a settings file is malformed, or if a settings file cannot be read. If one field is invalid,
 * the exception's text names it.
 */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message);
    }

    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Joins the lines of a parser's message, since each error is reported in one line. */
    static String toSingleLine(String message) {
        return message.replaceAll("\\s*\\R\\s*", " ");
    }
}
