package org.gullway.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.math.BigInteger;

/**
 * The protocol's integers from 0 to 2^64 - 1, which the fakes keep in the 64 bits of a {@code long}. Independent of the
 * class that the controllers use, so that a mistake in that class does not hide itself.
 */
final class UnsignedNumbers {
    private UnsignedNumbers() {}

    static JsonNode node(long bits) {
        return bits >= 0
                ? JsonNodeFactory.instance.numberNode(bits)
                : JsonNodeFactory.instance.numberNode(new BigInteger(Long.toUnsignedString(bits)));
    }

    /** Returns the 64 bits of a number; 0 if the node is not an integer of the range. */
    static long bits(JsonNode node) {
        BigInteger value = node.isIntegralNumber() ? node.bigIntegerValue() : BigInteger.ZERO;
        return value.signum() >= 0 && value.bitLength() <= Long.SIZE ? value.longValue() : 0;
    }

    static boolean isLess(long bits, long otherBits) {
        return Long.compareUnsigned(bits, otherBits) < 0;
    }
}
