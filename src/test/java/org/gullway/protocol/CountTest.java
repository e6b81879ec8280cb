package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Counts are integers from 0 to 2^64 - 1, compared and added like {@link BigInteger} values of that range. */
class CountTest {
    private static final BigInteger RANGE = BigInteger.ONE.shiftLeft(64);

    /** Numbers that are no counts, as encoded CBOR. */
    private static final Map<String, String> INVALID = Map.of(
            "-1", "20",
            "-2^63 - 1", "3b8000000000000000",
            "1.5", "f93e00",
            "88.0 as a floating-point number", "f95580",
            "2^64 as a floating-point number", "fb43f0000000000000",
            "2^64 as a bignum", "c249010000000000000000",
            "2^72 - 1 as a bignum", "c249ffffffffffffffffff",
            "-6 as a bignum", "c34105",
            "text", "6135");

    /** Encodes {@code {"x": value}}. */
    private static byte[] mapWith(String valueHex) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(new byte[] {(byte) 0xa1, 0x61});
        bytes.writeBytes("x".getBytes(StandardCharsets.UTF_8));
        bytes.writeBytes(HexFormat.of().parseHex(valueHex));
        return bytes.toByteArray();
    }

    private static BigInteger value(Count count) {
        return new BigInteger(count.toString());
    }

    private static ObjectNode encoded(Count count) throws MalformedMessageException {
        ObjectNode node = Cbor.map();
        node.set("x", count.toNode());
        return Cbor.decode(Cbor.encode(node));
    }

    /** Guards against numbers from 2^63 on that count as negative: comparisons, sums, digits and sizes are unsigned. */
    @Property(tries = 2000, seed = "56")
    void behavesLikeAnUnboundedInteger(
            @ForAll long firstBits, @ForAll long secondBits, @ForAll @IntRange(max = Integer.MAX_VALUE) int addend) {
        Count first = Count.ofUnsignedBits(firstBits);
        Count second = Count.ofUnsignedBits(secondBits);
        assertThat(Integer.signum(first.compareTo(second)))
                .isEqualTo(value(first).compareTo(value(second)));
        assertThat(first.equals(second)).isEqualTo(value(first).equals(value(second)));
        assertThat(first.isAtLeast(second)).isEqualTo(value(first).compareTo(value(second)) >= 0);
        assertThat(first.isGreaterThan(second)).isEqualTo(value(first).compareTo(value(second)) > 0);
        assertThat(value(Count.max(first, second))).isEqualTo(value(first).max(value(second)));
        assertThat(first.unsignedBits()).isEqualTo(value(first).longValue());
        assertThat(JsonSize.ofCount(first)).isEqualTo(first.toString().length());
        BigInteger sum = value(first).add(BigInteger.valueOf(addend));
        if (sum.compareTo(RANGE) < 0) {
            assertThat(value(first.plus(addend))).isEqualTo(sum);
            assertThat(value(first.plusOrMax(addend))).isEqualTo(sum);
        } else {
            assertThatThrownBy(() -> first.plus(addend)).isInstanceOf(ArithmeticException.class);
            assertThat(first.plusOrMax(addend)).isEqualTo(Count.MAX);
        }
    }

    /** Guards against a token or an attempt that wraps to 0, which every agent would refuse as outdated. */
    @Test
    void nothingFollowsTheLargestCount() {
        assertThat(Count.MAX).hasToString("18446744073709551615");
        assertThatThrownBy(Count.MAX::next).isInstanceOf(ArithmeticException.class);
        assertThat(Count.ofUnsignedBits(Long.MAX_VALUE).next()).hasToString("9223372036854775808");
        assertThatThrownBy(() -> Count.of(-1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> Count.ONE.plus(-1)).isInstanceOf(ArithmeticException.class);
    }

    /** Guards against numbers from 2^63 on that are sent as bignums, which are byte strings and no numbers. */
    @Test
    void countsAreEncodedAsPlainIntegers() {
        ObjectNode node = Cbor.map();
        node.set("x", Count.MAX.toNode());
        assertThat(Cbor.encode(node)).endsWith(HexFormat.of().parseHex("1bffffffffffffffff"));
        node.set("x", Count.ofUnsignedBits(Long.MIN_VALUE).toNode());
        assertThat(Cbor.encode(node)).endsWith(HexFormat.of().parseHex("1b8000000000000000"));
    }

    @Property(tries = 2000, seed = "57")
    void isReadAsEncoded(@ForAll long bits) throws MalformedMessageException {
        Count count = Count.ofUnsignedBits(bits);
        assertThat(MessageFields.of(encoded(count)).count("x")).isEqualTo(count);
        assertThat(HeartbeatCounts.read(count).sequence()).isEqualTo(count);
    }

    /** Guards against numbers out of the range that are read as other numbers. The error names the field and the range. */
    @Test
    void numbersOutOfTheRangeAreRefused() {
        INVALID.forEach((name, hex) -> {
            assertThatThrownBy(() -> MessageFields.of(Cbor.decode(mapWith(hex))).count("x"))
                    .as(name)
                    .isInstanceOf(MalformedMessageException.class)
                    .hasMessage("x is not an integer from 0 to 2^64 - 1");
            assertThatThrownBy(() -> MessageFields.countAt(
                            Cbor.decode(mapWith("81" + hex)).path("x"), 0, "x"))
                    .as("%s in a list", name)
                    .isInstanceOf(MalformedMessageException.class)
                    .hasMessage("x[0] is not an integer from 0 to 2^64 - 1");
        });
    }

    /** The same in each field of a heartbeat, which has a reader of its own. */
    @Test
    void numbersOutOfTheRangeAreRefusedInEveryFieldOfAHeartbeat() {
        for (String field : List.of("flight", "tally", "baton", "launch")) {
            INVALID.forEach((name, hex) -> assertThatThrownBy(
                            () -> Heartbeat.parse(HeartbeatCounts.withRawValue(field, hex), machine -> null))
                    .as("%s of %s", name, field)
                    .isInstanceOf(MalformedMessageException.class)
                    .hasMessage((field.equals("launch") ? "legs[].launch" : field)
                            + " is not an integer from 0 to 2^64 - 1"));
        }
    }
}
