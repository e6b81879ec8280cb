package org.gullway.protocol;

/** A message or a settings file that does not have the stated form. */
public final class MalformedMessageException extends Exception {
    public MalformedMessageException(String message) {
        super(message);
    }

    /** A parser's message without line breaks, since every complaint is one line. */
    static String inOneLine(String message) {
        return message.replaceAll("\\s*\\R\\s*", " ");
    }
}
