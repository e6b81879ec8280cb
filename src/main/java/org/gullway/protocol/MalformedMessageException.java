package org.gullway.protocol;

/** A message or a settings file does not have the stated form; the text names the field. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message);
    }

    public MalformedMessageException(String message, Throwable cause) {
        super(message, cause);
    }

    /** A parser's message without line breaks, since every error is one line. */
    static String inOneLine(String message) {
        return message.replaceAll("\\s*\\R\\s*", " ");
    }
}
