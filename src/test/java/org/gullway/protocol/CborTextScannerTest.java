package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class CborTextScannerTest {
    /** A body with items of all kinds and lengths before, in and around the text. */
    private static byte[] bodyWith(String key, String text) {
        ObjectNode node = Cbor.map()
                .put("small", 7)
                .put("byte", 200)
                .put("negative", -70_000)
                .put("long", 1L << 40)
                .put("largest", BigInteger.TWO.pow(64).subtract(BigInteger.ONE))
                .put("float", 1.5f)
                .put("double", 0.1)
                .put("flag", true)
                .put("ascii", "x".repeat(300))
                .put("text", "Đồng Xanh 😀");
        node.putNull("nothing");
        node.putArray("list").add(1).addObject().put(key, text);
        return Cbor.encode(node.put("last", "run-000001"));
    }

    @Test
    void validTextsOfAllLengthsArePassed() throws MalformedMessageException {
        for (String text : List.of("", "a", "é".repeat(30), "đ".repeat(150), "😀".repeat(20_000))) {
            byte[] body = bodyWith("key", text);
            assertThat(CborTextScanner.hasInvalidText(body)).isFalse();
            assertThat(CborTextScanner.withInvalidTextsAsBytes(body)).isSameAs(body);
            assertThat(Cbor.decode(body).path("list").path(1).path("key").textValue())
                    .isEqualTo(text);
        }
    }

    /** Guards against a text that is accepted although no message or record with it can be encoded again. */
    @Test
    void invalidTextsAndKeysAreRejected() {
        for (String sequence : InvalidTexts.SEQUENCES) {
            for (byte[] body :
                    List.of(bodyWith("key", InvalidTexts.PLACEHOLDER), bodyWith(InvalidTexts.PLACEHOLDER, "value"))) {
                byte[] invalid = InvalidTexts.replacePlaceholder(body, sequence);
                assertThat(CborTextScanner.hasInvalidText(invalid)).as(sequence).isTrue();
                assertThatThrownBy(() -> Cbor.decode(invalid))
                        .as(sequence)
                        .isInstanceOf(MalformedMessageException.class);
            }
        }
    }

    /** A lenient reader gets everything but the invalid texts; the keys next to an invalid key keep their values. */
    @Test
    void lenientDecodingKeepsTheRestOfTheBody() throws MalformedMessageException {
        for (String sequence : InvalidTexts.SEQUENCES) {
            ObjectNode invalidValue = Cbor.decodeLeniently(
                    InvalidTexts.replacePlaceholder(bodyWith("key", InvalidTexts.PLACEHOLDER), sequence));
            assertThat(invalidValue.path("list").path(1).path("key").isBinary()).isTrue();
            assertThat(invalidValue.path("last").textValue()).isEqualTo("run-000001");
            ObjectNode invalidKey = Cbor.decodeLeniently(
                    InvalidTexts.replacePlaceholder(bodyWith(InvalidTexts.PLACEHOLDER, "value"), sequence));
            assertThat(invalidKey.path("list").path(1).properties()).hasSize(1);
            assertThat(invalidKey.path("text").textValue()).isEqualTo("Đồng Xanh 😀");
        }
        byte[] chunked = HexFormat.of().parseHex("a26178" + "7f" + "6161" + "63eda0bd" + "ff" + "6179" + "07");
        assertThat(Cbor.decodeLeniently(chunked).path("x").isBinary()).isTrue();
        assertThat(Cbor.decodeLeniently(chunked).path("y").intValue()).isEqualTo(7);
    }

    /** The chunks of a text of indefinite length must be valid each. */
    @Test
    void chunkedTextsAreChecked() throws MalformedMessageException {
        byte[] valid = HexFormat.of().parseHex("a16178" + "7f" + "62c3a9" + "6161" + "ff");
        byte[] invalid = HexFormat.of().parseHex("a16178" + "7f" + "6161" + "63eda0bd" + "ff");
        byte[] split = HexFormat.of().parseHex("a16178" + "7f" + "61c3" + "61a9" + "ff");
        assertThat(Cbor.decode(valid).path("x").textValue()).isEqualTo("éa");
        assertThatThrownBy(() -> Cbor.decode(invalid)).isInstanceOf(MalformedMessageException.class);
        assertThatThrownBy(() -> Cbor.decode(split)).isInstanceOf(MalformedMessageException.class);
    }

    /** The verdict on any bytes in a text is that of the decoder of the class library. */
    @Property(tries = 3000, seed = "42")
    void verdictIsThatOfTheStrictDecoder(@ForAll long seed, @ForAll @IntRange(max = 300) int length) {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] text = randomText(random, length);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(new byte[] {(byte) 0xa1, 0x61, 'x', 0x79, (byte) (length >> 8), (byte) length});
        body.writeBytes(text);
        assertThat(CborTextScanner.hasInvalidText(body.toByteArray())).isEqualTo(!isValid(text));
    }

    /** Returns random valid characters of which some bytes are replaced. */
    private static byte[] randomText(SplittableRandom random, int length) {
        StringBuilder characters = new StringBuilder();
        while (characters.length() < length) {
            characters.appendCodePoint(List.of(0x41, 0xe9, 0x20ac, 0x1f600).get(random.nextInt(4)));
        }
        byte[] text = Arrays.copyOf(characters.toString().getBytes(StandardCharsets.UTF_8), length);
        for (int i = random.nextInt(3); i > 0 && length > 0; i--) {
            text[random.nextInt(length)] = (byte) random.nextInt(256);
        }
        return text;
    }

    private static boolean isValid(byte[] text) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(text));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    /** What is accepted can be encoded again, whichever bytes of the body are changed. */
    @Test
    void acceptedBodiesCanBeEncodedAgain() {
        byte[] body = bodyWith("key", "Đồng Xanh");
        SplittableRandom random = new SplittableRandom(41);
        List<byte[]> accepted = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            byte[] changed = body.clone();
            for (int j = 1 + random.nextInt(3); j > 0; j--) {
                changed[random.nextInt(changed.length)] = (byte) random.nextInt(256);
            }
            try {
                accepted.add(encodeAgain(Cbor.decode(changed)));
            } catch (MalformedMessageException e) {
                assertThat(e.getMessage()).isNotBlank();
            }
        }
        assertThat(accepted).hasSizeGreaterThan(1000);
    }

    private static byte[] encodeAgain(ObjectNode node) {
        // Binary values are accepted only where the protocol has no field, and are never sent on.
        return containsBinary(node) ? new byte[0] : Cbor.encode(node);
    }

    private static boolean containsBinary(JsonNode node) {
        if (node.isBinary()) {
            return true;
        }
        for (JsonNode child : node) {
            if (containsBinary(child)) {
                return true;
            }
        }
        return false;
    }
}
