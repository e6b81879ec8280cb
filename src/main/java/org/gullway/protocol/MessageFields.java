package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigInteger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Checked access to the fields of a map; every error names the field. */
public final class MessageFields {
    private static final double MAX_AMOUNT = 1e9;
    /** In characters. */
    static final int MAX_TEXT_LENGTH = 200;

    private final JsonNode map;
    private final String where;

    private MessageFields(JsonNode map, String where) {
        this.map = map;
        this.where = where;
    }

    public static MessageFields of(JsonNode map) {
        return new MessageFields(map, "");
    }

    public boolean has(String name) {
        JsonNode node = map.get(name);
        return node != null && !node.isNull();
    }

    private JsonNode required(String name) throws MalformedMessageException {
        if (!has(name)) {
            throw new MalformedMessageException(where + name + " is missing");
        }
        return map.get(name);
    }

    private MalformedMessageException wrong(String name, String expected) {
        return new MalformedMessageException(where + name + " is not " + expected);
    }

    /** A text that is not empty and not longer than the protocol allows. */
    public String text(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isTextual() || node.textValue().isEmpty() || node.textValue().length() > MAX_TEXT_LENGTH) {
            throw wrong(name, "a text of 1 to " + MAX_TEXT_LENGTH + " characters");
        }
        return node.textValue();
    }

    public String textOrNull(String name) throws MalformedMessageException {
        return has(name) ? text(name) : null;
    }

    /** A finite amount of zero or more. */
    public double amount(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        double value = node.isNumber() ? node.doubleValue() : Double.NaN;
        if (!isAmount(value)) {
            throw wrong(name, "an amount from 0 to 1e9");
        }
        return value;
    }

    /** Whether the number is finite, zero or more, and not absurdly large. */
    static boolean isAmount(double value) {
        return value >= 0 && value <= MAX_AMOUNT;
    }

    static Duration toDuration(double seconds) {
        return Duration.ofNanos(Math.round(seconds * 1e9));
    }

    /** A finite amount above zero. */
    public double positive(String name) throws MalformedMessageException {
        double value = amount(name);
        if (value <= 0) {
            throw wrong(name, "an amount above 0");
        }
        return value;
    }

    public Duration seconds(String name) throws MalformedMessageException {
        return toDuration(amount(name));
    }

    public Duration secondsOrNull(String name) throws MalformedMessageException {
        return has(name) ? seconds(name) : null;
    }

    public Duration millis(String name) throws MalformedMessageException {
        return Duration.ofNanos(Math.round(amount(name) * 1e6));
    }

    /** An integer from 0; whole numbers written as decimals are taken too. */
    public long count(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (node.isIntegralNumber()) {
            BigInteger value = node.bigIntegerValue();
            if (value.signum() >= 0 && value.bitLength() < 64) {
                return value.longValue();
            }
        }
        throw wrong(name, "a count");
    }

    /** An integer from 0 to {@code most}. */
    public int countUpTo(String name, int most) throws MalformedMessageException {
        long value = count(name);
        if (value > most) {
            throw wrong(name, "a count up to " + most);
        }
        return (int) value;
    }

    /** True or false; a field that is missing is an error. */
    public boolean flag(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isBoolean()) {
            throw wrong(name, "true or false");
        }
        return node.booleanValue();
    }

    /** A list of texts, which may be empty, or null if there is no such field. */
    public List<String> textsOrNull(String name) throws MalformedMessageException {
        if (!has(name)) {
            return null;
        }
        JsonNode node = map.get(name);
        if (!node.isArray()) {
            throw wrong(name, "a list of texts");
        }
        List<String> texts = new ArrayList<>(node.size());
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw wrong(name, "a list of texts");
            }
            texts.add(item.textValue());
        }
        return List.copyOf(texts);
    }

    /** The fields of a map within this one; errors name the path to them. */
    public MessageFields nested(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isObject()) {
            throw wrong(name, "a map");
        }
        return new MessageFields(node, where + name + ".");
    }

    /** A list of maps; it is empty if there is no such field. */
    public List<MessageFields> list(String name) throws MalformedMessageException {
        if (!has(name)) {
            return List.of();
        }
        JsonNode node = map.get(name);
        if (!node.isArray()) {
            throw wrong(name, "a list");
        }
        List<MessageFields> items = new ArrayList<>(node.size());
        for (JsonNode item : node) {
            if (!item.isObject()) {
                throw wrong(name, "a list of maps");
            }
            items.add(new MessageFields(item, where + name + "[" + items.size() + "]."));
        }
        return items;
    }
}
