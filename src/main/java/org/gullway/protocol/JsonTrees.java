package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;

/**
 * Reads and writes trees token by token. Jackson's {@code ObjectMapper} does the same, but setting it up (dates, types,
 * annotations) costs a controller processor time in its start.
 */
final class JsonTrees {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Reads the next value with all that is in it; null if the input has ended. */
    static JsonNode readNext(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? null : read(parser);
    }

    /** Reads the value at whose first token the parser is; it ends at the last one. */
    private static JsonNode read(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> readDecimal(parser);
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            case VALUE_EMBEDDED_OBJECT -> readEmbedded(parser.getEmbeddedObject());
            default -> throw new IOException("unexpected " + parser.currentToken());
        };
    }

    private static ObjectNode readMap(JsonParser parser) throws IOException {
        ObjectNode map = NODES.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            map.set(name, readInside(parser));
        }
        requireToken(parser, JsonToken.END_OBJECT);
        return map;
    }

    private static ArrayNode readList(JsonParser parser) throws IOException {
        ArrayNode list = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readStarted(parser));
        }
        return list;
    }

    private static JsonNode readInside(JsonParser parser) throws IOException {
        parser.nextToken();
        return readStarted(parser);
    }

    private static JsonNode readStarted(JsonParser parser) throws IOException {
        if (parser.currentToken() == null) {
            throw new IOException("the input ends too early");
        }
        return read(parser);
    }

    private static void requireToken(JsonParser parser, JsonToken expected) throws IOException {
        if (parser.currentToken() != expected) {
            throw new IOException("expected " + expected + ", found " + parser.currentToken());
        }
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonNode readDecimal(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case FLOAT -> NODES.numberNode(parser.getFloatValue());
            case BIG_DECIMAL -> NODES.numberNode(parser.getDecimalValue());
            default -> NODES.numberNode(parser.getDoubleValue());
        };
    }

    private static JsonNode readEmbedded(Object value) {
        if (value == null) {
            return NODES.nullNode();
        }
        return value instanceof byte[] bytes ? NODES.binaryNode(bytes) : NODES.pojoNode(value);
    }

    /** Writes the node with all that is in it. */
    static void write(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.getNodeType()) {
            case OBJECT -> {
                generator.writeStartObject(node, node.size());
                for (Map.Entry<String, JsonNode> field : node.properties()) {
                    generator.writeFieldName(field.getKey());
                    write(field.getValue(), generator);
                }
                generator.writeEndObject();
            }
            case ARRAY -> {
                generator.writeStartArray(node, node.size());
                for (JsonNode item : node) {
                    write(item, generator);
                }
                generator.writeEndArray();
            }
            case STRING -> generator.writeString(node.textValue());
            case BOOLEAN -> generator.writeBoolean(node.booleanValue());
            case NULL -> generator.writeNull();
            case NUMBER -> writeNumber(node, generator);
            default -> throw new IOException("cannot write a node of type " + node.getNodeType());
        }
    }

    private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
        switch (node.numberType()) {
            case INT -> generator.writeNumber(node.intValue());
            case LONG -> generator.writeNumber(node.longValue());
            case FLOAT -> generator.writeNumber(node.floatValue());
            case DOUBLE -> generator.writeNumber(node.doubleValue());
            case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
            default -> generator.writeNumber(node.decimalValue());
        }
    }
}
