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
 * Reads and writes JSON trees token by token. Jackson's {@code ObjectMapper} does the same, but its initialization
 * (dates, types, annotations) costs CPU time when a controller starts. Only the optional file of operators' settings is
 * read with it.
 */
final class JsonTrees {
    private static final JsonNodeFactory NODE_FACTORY = JsonNodeFactory.instance;

    private JsonTrees() {}

    /** Reads the next value with everything nested in it. Returns null at the end of the input. */
    static JsonNode readNext(JsonParser parser) throws IOException {
        return parser.nextToken() == null ? null : read(parser);
    }

    /** Reads the value that starts at the parser's current token. The parser is then at the value's last token. */
    private static JsonNode read(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMap(parser);
            case START_ARRAY -> readList(parser);
            case VALUE_STRING -> NODE_FACTORY.textNode(parser.getText());
            case VALUE_NUMBER_INT -> readInteger(parser);
            case VALUE_NUMBER_FLOAT -> readDecimal(parser);
            case VALUE_TRUE -> NODE_FACTORY.booleanNode(true);
            case VALUE_FALSE -> NODE_FACTORY.booleanNode(false);
            case VALUE_NULL -> NODE_FACTORY.nullNode();
            case VALUE_EMBEDDED_OBJECT -> readEmbedded(parser.getEmbeddedObject());
            default -> throw new IOException("unexpected token " + parser.currentToken());
        };
    }

    private static ObjectNode readMap(JsonParser parser) throws IOException {
        ObjectNode map = NODE_FACTORY.objectNode();
        for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
            map.set(name, readNextRequired(parser));
        }
        requireToken(parser, JsonToken.END_OBJECT);
        return map;
    }

    private static ArrayNode readList(JsonParser parser) throws IOException {
        ArrayNode list = NODE_FACTORY.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            list.add(readRequired(parser));
        }
        return list;
    }

    private static JsonNode readNextRequired(JsonParser parser) throws IOException {
        parser.nextToken();
        return readRequired(parser);
    }

    private static JsonNode readRequired(JsonParser parser) throws IOException {
        if (parser.currentToken() == null) {
            throw new IOException("unexpected end of input");
        }
        return read(parser);
    }

    private static void requireToken(JsonParser parser, JsonToken expected) throws IOException {
        if (parser.currentToken() != expected) {
            throw new IOException("expected token " + expected + ", got " + parser.currentToken());
        }
    }

    private static JsonNode readInteger(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODE_FACTORY.numberNode(parser.getIntValue());
            case LONG -> NODE_FACTORY.numberNode(parser.getLongValue());
            default -> NODE_FACTORY.numberNode(parser.getBigIntegerValue());
        };
    }

    private static JsonNode readDecimal(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case FLOAT -> NODE_FACTORY.numberNode(parser.getFloatValue());
            case BIG_DECIMAL -> NODE_FACTORY.numberNode(parser.getDecimalValue());
            default -> NODE_FACTORY.numberNode(parser.getDoubleValue());
        };
    }

    private static JsonNode readEmbedded(Object value) {
        if (value == null) {
            return NODE_FACTORY.nullNode();
        }
        return value instanceof byte[] bytes ? NODE_FACTORY.binaryNode(bytes) : NODE_FACTORY.pojoNode(value);
    }

    /** Writes the node with everything nested in it. */
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
            case BIG_INTEGER -> Cbor.writeInteger(node.bigIntegerValue(), generator);
            default -> generator.writeNumber(node.decimalValue());
        }
    }
}
