package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Bodies on the wire: CBOR maps with text keys. */
public final class Cbor {
    private static final ObjectMapper MAPPER = new CBORMapper(new CBORFactory());

    private Cbor() {}

    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** The CBOR form of the node. */
    public static byte[] encode(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a body piece by piece. */
    static JsonParser parser(byte[] body) throws IOException {
        return MAPPER.getFactory().createParser(body);
    }

    /** Reads a body that has to be exactly one map. */
    public static ObjectNode decode(byte[] body) throws MalformedException {
        JsonNode node;
        try (var parser = MAPPER.getFactory().createParser(body)) {
            node = MAPPER.readTree(parser);
            if (parser.nextToken() != null) {
                throw new MalformedException("bytes after the map");
            }
        } catch (IOException | StackOverflowError e) {
            throw new MalformedException("not CBOR");
        }
        if (!(node instanceof ObjectNode map)) {
            throw new MalformedException("not a map");
        }
        return map;
    }
}
