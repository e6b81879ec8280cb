package org.gullway.protocol;

/** Upper bounds of the size of values in JSON, the form in which the state service counts. */
public final class JsonSize {
    /** The longest decimal number, such as -1.2345678901234567E-100. */
    public static final int LONGEST_DECIMAL = 24;

    /** A character that needs an escape, such as the six characters of an escaped control character. */
    private static final int ESCAPED = 6;

    private JsonSize() {}

    /** Size of a text with its quotation marks. */
    public static int ofText(String text) {
        int bytes = 2;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            bytes += c < ' ' || c > '~' || c == '"' || c == '\\' ? ESCAPED : 1;
        }
        return bytes;
    }

    /** Number of characters of an integer. */
    public static int ofNumber(long number) {
        int digits = number < 0 ? 2 : 1;
        for (long rest = number / 10; rest != 0; rest /= 10) {
            digits++;
        }
        return digits;
    }
}
