package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.math.BigInteger;

/**
 * A count, version, token or attempt number of the protocol: an integer from 0 to 2^64 - 1. Other parties choose most of
 * these numbers, so any value in the range may occur, and half of the values do not fit into a signed {@code long}.
 * Comparisons are unsigned, and additions fail beyond the range instead of wrapping.
 */
public final class Count implements Comparable<Count> {
    /** What {@link #of(JsonNode)} and {@link #of(JsonParser)} accept, for error messages. */
    static final String EXPECTED = "an integer from 0 to 2^64 - 1";

    private static final int CACHED_COUNTS = 256;
    private static final Count[] CACHE = new Count[CACHED_COUNTS];

    static {
        for (int i = 0; i < CACHED_COUNTS; i++) {
            CACHE[i] = new Count(i);
        }
    }

    public static final Count ZERO = of(0);
    public static final Count ONE = of(1);
    public static final Count MAX = ofUnsignedBits(-1);

    /** The 64 bits of the unsigned value. */
    private final long bits;

    private Count(long bits) {
        this.bits = bits;
    }

    /**
     * Returns the count of this value.
     *
     * @throws IllegalArgumentException if the value is negative
     */
    public static Count of(long value) {
        if (value < 0) {
            throw new IllegalArgumentException("a count must not be negative: " + value);
        }
        return ofUnsignedBits(value);
    }

    /** Returns the count with these 64 bits; a negative argument stands for a count from 2^63 on. */
    public static Count ofUnsignedBits(long bits) {
        return bits >= 0 && bits < CACHED_COUNTS ? CACHE[(int) bits] : new Count(bits);
    }

    /** Returns the count that the node contains, or null if the node is no integer of the range. */
    static Count of(JsonNode node) {
        return node.isIntegralNumber() ? of(node.bigIntegerValue()) : null;
    }

    /** Returns the count at the parser's current token, or null if the token is no integer of the range. */
    static Count of(JsonParser parser) throws IOException {
        if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT) {
            return null;
        }
        if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
            return of(parser.getBigIntegerValue());
        }
        long value = parser.getLongValue();
        return value < 0 ? null : ofUnsignedBits(value);
    }

    private static Count of(BigInteger value) {
        return value.signum() < 0 || value.bitLength() > Long.SIZE ? null : ofUnsignedBits(value.longValue());
    }

    /** Returns the count as a number that {@link Cbor} encodes as a plain integer. */
    public JsonNode toNode() {
        return bits >= 0
                ? JsonNodeFactory.instance.numberNode(bits)
                : JsonNodeFactory.instance.numberNode(new BigInteger(toString()));
    }

    /** Returns the 64 bits of the unsigned value, for binary encodings; see {@link #ofUnsignedBits}. */
    public long unsignedBits() {
        return bits;
    }

    public boolean isZero() {
        return bits == 0;
    }

    public boolean isGreaterThan(Count other) {
        return compareTo(other) > 0;
    }

    public boolean isAtLeast(Count other) {
        return compareTo(other) >= 0;
    }

    /** Returns the larger of two counts. */
    public static Count max(Count first, Count second) {
        return second.isGreaterThan(first) ? second : first;
    }

    /**
     * Returns the next larger count.
     *
     * @throws ArithmeticException if this is the largest count
     */
    public Count next() {
        return plus(1);
    }

    /**
     * Returns the sum of this count and a number that is not negative.
     *
     * @throws ArithmeticException if the sum is beyond the range
     */
    public Count plus(int addend) {
        Count sum = ofUnsignedBits(bits + addend);
        if (addend < 0 || isGreaterThan(sum)) {
            throw new ArithmeticException("cannot add " + addend + " to the count " + this);
        }
        return sum;
    }

    /** Returns the sum of this count and a number that is not negative, or {@link #MAX} if the sum is beyond the range. */
    public Count plusOrMax(int addend) {
        return bits >= 0 || addend <= ~bits ? plus(addend) : MAX;
    }

    @Override
    public int compareTo(Count other) {
        return Long.compareUnsigned(bits, other.bits);
    }

    @Override
    public boolean equals(Object other) {
        return this == other || (other instanceof Count count && bits == count.bits);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(bits);
    }

    /** Returns the decimal digits, without a sign. */
    @Override
    public String toString() {
        return Long.toUnsignedString(bits);
    }
}
