package org.gullway.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the fields of a decoded map and checks their types and limits. The errors of these methods name the field with
 * its path.
 */
public final class MessageFields {
    private static final double MAX_AMOUNT = 1e9;
    public static final int MAX_TEXT_CHARACTERS = 200;

    private final JsonNode map;
    private final String pathPrefix;

    private MessageFields(JsonNode map, String pathPrefix) {
        this.map = map;
        this.pathPrefix = pathPrefix;
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
            throw new MalformedMessageException(pathPrefix + name + " is missing");
        }
        return map.get(name);
    }

    private MalformedMessageException invalid(String name, String expected) {
        return new MalformedMessageException(pathPrefix + name + " is not " + expected);
    }

    /**
     * Reads a text that is not empty, has at most {@link #MAX_TEXT_CHARACTERS} characters, and can be encoded again.
     */
    public String text(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isTextual() || node.textValue().isEmpty() || node.textValue().length() > MAX_TEXT_CHARACTERS) {
            throw invalid(name, "a text of 1 to " + MAX_TEXT_CHARACTERS + " characters");
        }
        return requireEncodable(name, node.textValue());
    }

    /** A text with half of a surrogate pair has no UTF-8 form, so no message or record with it can be encoded. */
    private String requireEncodable(String name, String text) throws MalformedMessageException {
        if (!isEncodable(text)) {
            throw invalid(name, "a text of complete characters");
        }
        return text;
    }

    /** Returns whether the text has a UTF-8 form: whether each surrogate in it is part of a pair. */
    static boolean isEncodable(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (Character.isSurrogate(text.charAt(i))) {
                return StandardCharsets.UTF_8.newEncoder().canEncode(text);
            }
        }
        return true;
    }

    public String textOrNull(String name) throws MalformedMessageException {
        return has(name) ? text(name) : null;
    }

    /** Reads a number from 0 to 1e9. */
    public double amount(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        double value = node.isNumber() ? node.doubleValue() : Double.NaN;
        if (!isAmount(value)) {
            throw invalid(name, "an amount from 0 to 1e9");
        }
        return value;
    }

    /** Whether the number is from 0 to {@link #MAX_AMOUNT}, which excludes NaN and infinity. */
    static boolean isAmount(double value) {
        return value >= 0 && value <= MAX_AMOUNT;
    }

    static Duration toDuration(double seconds) {
        return Duration.ofNanos(Math.round(seconds * 1e9));
    }

    /** Reads a number that is above 0 and at most 1e9. */
    public double positive(String name) throws MalformedMessageException {
        double value = amount(name);
        if (value <= 0) {
            throw invalid(name, "an amount above 0");
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

    /** Reads an integer from 0 to 2^64 - 1. A floating-point number is an error even if it is whole. */
    public Count count(String name) throws MalformedMessageException {
        Count count = Count.of(required(name));
        if (count == null) {
            throw invalid(name, Count.EXPECTED);
        }
        return count;
    }

    /** Reads an integer from 0 to {@code max}. */
    public int countUpTo(String name, int max) throws MalformedMessageException {
        return (int) longUpTo(name, max);
    }

    /** Reads an integer from 0 to {@code max}. */
    public long longUpTo(String name, long max) throws MalformedMessageException {
        Count count = Count.of(required(name));
        if (count == null || count.isGreaterThan(Count.of(max))) {
            throw invalid(name, "an integer from 0 to " + max);
        }
        return count.unsignedBits();
    }

    /**
     * Reads the count at a position of a list.
     *
     * @param path the path of the list, for the error
     */
    public static Count countAt(JsonNode list, int position, String path) throws MalformedMessageException {
        Count count = Count.of(list.path(position));
        if (count == null) {
            throw new MalformedMessageException(path + "[" + position + "] is not " + Count.EXPECTED);
        }
        return count;
    }

    /** Reads a boolean. A missing field is an error and does not count as false. */
    public boolean flag(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isBoolean()) {
            throw invalid(name, "true or false");
        }
        return node.booleanValue();
    }

    /**
     * Reads the text at a position of a list. Returns an empty text if the list is shorter.
     *
     * @param path the path of the list, for the error
     */
    public static String textAt(JsonNode list, int position, String path) throws MalformedMessageException {
        JsonNode node = list.path(position);
        if (!node.isTextual() && !node.isMissingNode()) {
            throw new MalformedMessageException(path + "[" + position + "] is not a text");
        }
        return node.asText();
    }

    /** Reads a list of texts, which may be empty. Returns null if the field is missing. */
    public List<String> textsOrNull(String name) throws MalformedMessageException {
        if (!has(name)) {
            return null;
        }
        JsonNode node = map.get(name);
        if (!node.isArray()) {
            throw invalid(name, "a list of texts");
        }
        List<String> texts = new ArrayList<>(node.size());
        for (JsonNode item : node) {
            if (!item.isTextual()) {
                throw invalid(name, "a list of texts");
            }
            texts.add(requireEncodable(name, item.textValue()));
        }
        return List.copyOf(texts);
    }

    /** Returns a reader for the nested map in this field. In its errors, the path starts with this field. */
    public MessageFields nested(String name) throws MalformedMessageException {
        JsonNode node = required(name);
        if (!node.isObject()) {
            throw invalid(name, "a map");
        }
        return new MessageFields(node, pathPrefix + name + ".");
    }

    /** Reads a list of maps. Returns an empty list if the field is missing. */
    public List<MessageFields> list(String name) throws MalformedMessageException {
        if (!has(name)) {
            return List.of();
        }
        JsonNode node = map.get(name);
        if (!node.isArray()) {
            throw invalid(name, "a list");
        }
        List<MessageFields> items = new ArrayList<>(node.size());
        for (JsonNode item : node) {
            if (!item.isObject()) {
                throw invalid(name, "a list of maps");
            }
            items.add(new MessageFields(item, pathPrefix + name + "[" + items.size() + "]."));
        }
        return items;
    }
}
