package org.gullway.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds the text strings of encoded CBOR that are not valid UTF-8, as RFC 8949 requires it (section 3.1). Jackson's
 * parser accepts some that are not, such as an encoded half of a surrogate pair, which its generator then refuses.
 *
 * <p>CBOR is a sequence of items that begin with a head, also inside of arrays and maps, so the scan needs no nesting.
 * It ends at the first head that is not well-formed, which Jackson's parser rejects.
 */
final class CborTextScanner {
    private static final int MAJOR_TYPE_SHIFT = 5;
    private static final int BYTE_STRING = 2;
    private static final int TEXT_STRING = 3;
    /** The major type of simple values, of floating-point numbers, and of the end of an item of indefinite length. */
    private static final int SIMPLE = 7;

    private static final int ADDITIONAL_INFORMATION_MASK = 0x1f;
    /** The additional information of a head that is followed by an argument of one byte. */
    private static final int ONE_BYTE_ARGUMENT = 24;
    /** The additional information of a head that is followed by an argument of eight bytes. */
    private static final int EIGHT_BYTE_ARGUMENT = 27;

    private static final int INDEFINITE_LENGTH = 31;

    private final byte[] body;
    private final List<Integer> invalidHeads = new ArrayList<>(0);
    /** The heads of the text of indefinite length that is being scanned, and of its chunks. */
    private final List<Integer> chunkedTextHeads = new ArrayList<>(0);

    private boolean chunkedTextIsValid;
    private int position;

    private CborTextScanner(byte[] body) {
        this.body = body;
    }

    /** Returns whether some text string is not valid UTF-8. The result is undefined if the body is not well-formed. */
    static boolean hasInvalidText(byte[] body) {
        return !scan(body).isEmpty();
    }

    /**
     * Returns the body with each text string that is not valid UTF-8 turned into a byte string of the same bytes, or the
     * body itself if there is none.
     */
    static byte[] withInvalidTextsAsBytes(byte[] body) {
        List<Integer> heads = scan(body);
        if (heads.isEmpty()) {
            return body;
        }
        byte[] copy = body.clone();
        for (int head : heads) {
            copy[head] = (byte) ((BYTE_STRING << MAJOR_TYPE_SHIFT) | (copy[head] & ADDITIONAL_INFORMATION_MASK));
        }
        return copy;
    }

    /** Returns the positions of the heads of all text strings that are not valid UTF-8, with those of their chunks. */
    private static List<Integer> scan(byte[] body) {
        CborTextScanner scanner = new CborTextScanner(body);
        boolean wellFormed = true;
        while (wellFormed && scanner.position < body.length) {
            wellFormed = scanner.scanItem();
        }
        return scanner.invalidHeads;
    }

    /** Scans one head and, if it is that of a string, the content. Returns false if it is not well-formed. */
    private boolean scanItem() {
        int head = position;
        int majorType = (body[head] & 0xff) >> MAJOR_TYPE_SHIFT;
        int information = body[head] & ADDITIONAL_INFORMATION_MASK;
        position++;
        if (information == INDEFINITE_LENGTH) {
            onIndefiniteLengthOrEnd(head, majorType);
            return true;
        }
        int argumentBytes = argumentBytes(information);
        if (argumentBytes > body.length - position) {
            return false;
        }
        long argument = readArgument(information, argumentBytes);
        if (majorType != BYTE_STRING && majorType != TEXT_STRING) {
            return true;
        }
        if (argument < 0 || argument > body.length - position) {
            return false;
        }
        if (majorType == TEXT_STRING) {
            onText(head, (int) argument);
        }
        position += (int) argument;
        return true;
    }

    /** Returns the length of the argument after a head; reserved values count as longer than any body. */
    private static int argumentBytes(int information) {
        if (information < ONE_BYTE_ARGUMENT) {
            return 0;
        }
        return information <= EIGHT_BYTE_ARGUMENT ? 1 << (information - ONE_BYTE_ARGUMENT) : Integer.MAX_VALUE;
    }

    /** Reads an unsigned argument; one above {@link Long#MAX_VALUE} becomes negative. */
    private long readArgument(int information, int argumentBytes) {
        long argument = argumentBytes == 0 ? information : 0;
        for (int i = 0; i < argumentBytes; i++) {
            argument = (argument << Byte.SIZE) | (body[position++] & 0xff);
        }
        return argument;
    }

    private void onIndefiniteLengthOrEnd(int head, int majorType) {
        if (majorType == TEXT_STRING) {
            chunkedTextHeads.clear();
            chunkedTextHeads.add(head);
            chunkedTextIsValid = true;
        } else if (majorType == SIMPLE && !chunkedTextHeads.isEmpty()) {
            if (!chunkedTextIsValid) {
                invalidHeads.addAll(chunkedTextHeads);
            }
            chunkedTextHeads.clear();
        }
    }

    private void onText(int head, int length) {
        boolean valid = isValidUtf8(length);
        if (!chunkedTextHeads.isEmpty()) {
            chunkedTextHeads.add(head);
            chunkedTextIsValid &= valid;
        } else if (!valid) {
            invalidHeads.add(head);
        }
    }

    private boolean isValidUtf8(int length) {
        if (isAscii(length)) {
            return true;
        }
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body, position, length));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    private boolean isAscii(int length) {
        for (int i = position; i < position + length; i++) {
            if (body[i] < 0) {
                return false;
            }
        }
        return true;
    }
}
