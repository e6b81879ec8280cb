package org.gullway.protocol;

/**
 * Sizes of values written as JSON. The sizes of texts are upper bounds that hold for each way to write a text: a
 * character may be written as itself or as an escape sequence.
 */
public final class JsonSize {
    /** Quotes around a text. */
    private static final int QUOTES = 2;
    /** Size of an escape sequence such as {@code \u0111}; no UTF-8 encoding of one UTF-16 code unit is longer. */
    private static final int MAX_CHARACTER_BYTES = 6;

    private static final int SHORT_ESCAPE_BYTES = 2;
    private static final char FIRST_PRINTABLE = ' ';
    private static final char LAST_PRINTABLE = '~';
    private static final int DECIMAL_BASE = 10;

    /** Size of the longest count. */
    public static final int MAX_COUNT_BYTES = ofCount(Count.MAX);

    private JsonSize() {}

    /** Returns the largest size of a text with this many characters. */
    public static int maxOfText(int characters) {
        return QUOTES + MAX_CHARACTER_BYTES * characters;
    }

    /** Returns the size of a text, including its quotes. */
    public static int ofText(String text) {
        int size = QUOTES;
        for (int i = 0; i < text.length(); i++) {
            size += ofCharacter(text.charAt(i));
        }
        return size;
    }

    private static int ofCharacter(char character) {
        if (character < FIRST_PRINTABLE || character > LAST_PRINTABLE) {
            return MAX_CHARACTER_BYTES;
        }
        return character == '"' || character == '\\' ? SHORT_ESCAPE_BYTES : 1;
    }

    /** Returns the size of a count. */
    public static int ofCount(Count count) {
        long bits = count.unsignedBits();
        return bits >= 0 ? ofInteger(bits) : 1 + ofInteger(Long.divideUnsigned(bits, DECIMAL_BASE));
    }

    /** Returns the size of an integer. */
    public static int ofInteger(long number) {
        int size = number < 0 ? 2 : 1;
        for (long rest = number / DECIMAL_BASE; rest != 0; rest /= DECIMAL_BASE) {
            size++;
        }
        return size;
    }
}
