package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;

/** Byte sequences that are not valid UTF-8, and message bodies that contain one of them as a text. */
public final class InvalidTexts {
    /** The text in a valid body that {@link #replacePlaceholder} replaces. */
    public static final String PLACEHOLDER = "?to-be-replaced?";

    /** Invalid sequences in hexadecimal. The first ends in half of a surrogate pair, as of a name that was cut off. */
    public static final List<String> SEQUENCES = List.of(
            "696d672deda0bd",
            // The second half of a surrogate pair; both halves, which UTF-8 encodes as one sequence of four bytes.
            "edb880",
            "eda0bdedb880",
            // Longer forms of "A" and of the NUL character than necessary.
            "c181",
            "c080",
            // Above the last code point; a byte that occurs nowhere; a character cut off; a continuation without begin.
            "f4908080",
            "ff",
            "e282",
            "80");

    private InvalidTexts() {}

    /** Returns the body with the placeholder replaced by the invalid sequence, filled up with spaces in front. */
    public static byte[] replacePlaceholder(byte[] body, String sequence) {
        byte[] changed = replacePlaceholders(body, sequence);
        assertThat(changed).as("body with the placeholder replaced").isNotEqualTo(body);
        return changed;
    }

    /** Returns the body with every placeholder replaced, if there are any. */
    public static byte[] replacePlaceholders(byte[] body, String sequence) {
        byte[] placeholder = PLACEHOLDER.getBytes(StandardCharsets.UTF_8);
        byte[] invalid = HexFormat.of().parseHex(sequence);
        byte[] changed = body.clone();
        for (int start = 0; start + placeholder.length <= body.length; start++) {
            int end = start + placeholder.length;
            if (Arrays.equals(body, start, end, placeholder, 0, placeholder.length)) {
                Arrays.fill(changed, start, end, (byte) ' ');
                System.arraycopy(invalid, 0, changed, end - invalid.length, invalid.length);
            }
        }
        return changed;
    }
}
