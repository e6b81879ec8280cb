package org.gullway.protocol;

/** A message or a settings file that does not have the stated form. */
public final class MalformedException extends Exception {
    public MalformedException(String message) {
        super(message);
    }
}
