package org.gullway.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigInteger;

/** Encodes and decodes message bodies, which are CBOR maps with text keys. */
public final class Cbor {
    private static final CBORFactory FACTORY = new CBORFactory();
    private static final int INITIAL_BUFFER_BYTES = 512;

    private Cbor() {}

    public static ObjectNode map() {
        return JsonNodeFactory.instance.objectNode();
    }

    /** Encodes the node as CBOR. */
    public static byte[] encode(JsonNode node) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            JsonTrees.write(node, generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    /**
     * Writes a large integer. Jackson would write any {@code BigInteger} as a bignum, which is a tagged byte string; the
     * messages of the protocol contain no binary data, so a {@link Count} is written as a plain integer.
     */
    static void writeInteger(BigInteger value, JsonGenerator generator) throws IOException {
        boolean needsAllBits = value.signum() > 0 && value.bitLength() == Long.SIZE;
        if (needsAllBits && generator instanceof CBORGenerator cborGenerator) {
            cborGenerator.writeNumberUnsigned(value.longValue());
        } else {
            generator.writeNumber(value);
        }
    }

    /**
     * Returns a streaming parser for the body.
     *
     * @throws MalformedMessageException if a text string of the body is not valid UTF-8
     */
    static JsonParser parser(byte[] body) throws IOException, MalformedMessageException {
        if (CborTextScanner.hasInvalidText(body)) {
            throw new MalformedMessageException("not valid CBOR: a text string is not valid UTF-8");
        }
        return FACTORY.createParser(body);
    }

    /**
     * Decodes a body that consists of exactly one map.
     *
     * @throws MalformedMessageException if the body is not valid CBOR, which includes text strings that are not valid
     *     UTF-8, or not a map
     */
    public static ObjectNode decode(byte[] body) throws MalformedMessageException {
        try (JsonParser parser = parser(body)) {
            return decode(parser);
        } catch (IOException e) {
            throw new MalformedMessageException("not valid CBOR", e);
        }
    }

    /**
     * Decodes a body like {@link #decode(byte[])}, except that a text string that is not valid UTF-8 is decoded as a
     * binary value, and a key as another key. So the fields and records with such texts are malformed, but the rest of
     * the body is not. For lists from services that many depend on; for a request, the whole body is malformed.
     */
    public static ObjectNode decodeLeniently(byte[] body) throws MalformedMessageException {
        try (JsonParser parser = FACTORY.createParser(CborTextScanner.withInvalidTextsAsBytes(body))) {
            return decode(parser);
        } catch (IOException e) {
            throw new MalformedMessageException("not valid CBOR", e);
        }
    }

    private static ObjectNode decode(JsonParser parser) throws IOException, MalformedMessageException {
        JsonNode node;
        try {
            node = JsonTrees.readNext(parser);
            if (parser.nextToken() != null) {
                throw new MalformedMessageException("unexpected bytes after the CBOR map");
            }
        } catch (StackOverflowError e) {
            // JsonTrees reads nested values recursively, so a body that is nested too deeply may exhaust the stack.
            throw new MalformedMessageException("nested too deeply", e);
        } catch (RuntimeException e) {
            // Readers of responses wait for an outcome, which a malformed body is, but an exception is not.
            throw new MalformedMessageException("not valid CBOR", e);
        }
        if (!(node instanceof ObjectNode map)) {
            throw new MalformedMessageException("not a CBOR map");
        }
        return map;
    }
}
