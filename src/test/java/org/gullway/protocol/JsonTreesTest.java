package org.gullway.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.util.Arrays;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** {@link JsonTrees} encodes and decodes the same as Jackson's {@code ObjectMapper}. */
class JsonTreesTest {
    private static final ObjectMapper MAPPER = new CBORMapper(new CBORFactory());
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    @Provide
    Arbitrary<JsonNode> trees() {
        return trees(3);
    }

    private static Arbitrary<JsonNode> trees(int depth) {
        Arbitrary<JsonNode> leaves = Arbitraries.oneOf(
                Arbitraries.strings().ofMaxLength(300).map(NODES::textNode),
                Arbitraries.integers().map(NODES::numberNode),
                Arbitraries.longs().map(NODES::numberNode),
                Arbitraries.bigIntegers().map(NODES::numberNode),
                Arbitraries.doubles().map(NODES::numberNode),
                Arbitraries.floats().map(NODES::numberNode),
                Arbitraries.of(true, false).map(NODES::booleanNode),
                Arbitraries.just(NODES.nullNode()));
        if (depth == 0) {
            return leaves;
        }
        Arbitrary<JsonNode> lists = trees(depth - 1).list().ofMaxSize(4).map(items -> NODES.arrayNode()
                .addAll(items));
        // The identity function converts the type of the maps from ObjectNode to JsonNode.
        return Arbitraries.oneOf(leaves, lists, maps(depth - 1).map(map -> map));
    }

    private static Arbitrary<ObjectNode> maps(int depth) {
        return Arbitraries.maps(Arbitraries.strings().ofMaxLength(20), trees(depth))
                .ofMaxSize(5)
                .map(fields -> {
                    ObjectNode map = NODES.objectNode();
                    fields.forEach(map::set);
                    return map;
                });
    }

    @Provide
    Arbitrary<ObjectNode> maps() {
        return maps(3);
    }

    @Property(tries = 300, seed = "11")
    void encodesLikeTheObjectMapper(@ForAll("trees") JsonNode tree) throws IOException {
        assertThat(Cbor.encode(tree)).isEqualTo(MAPPER.writeValueAsBytes(tree));
    }

    @Property(tries = 300, seed = "12")
    void decodesLikeTheObjectMapper(@ForAll("maps") ObjectNode tree) throws IOException, MalformedMessageException {
        byte[] bytes = MAPPER.writeValueAsBytes(tree);
        assertThat(Cbor.decode(bytes)).isEqualTo(MAPPER.readTree(bytes));
    }

    /** A truncated body is rejected, whatever its length. */
    @Property(tries = 200, seed = "13")
    void truncatedBodiesAreRejected(@ForAll("maps") ObjectNode tree, @ForAll int cut) {
        byte[] whole = Cbor.encode(tree);
        byte[] part = Arrays.copyOf(whole, Math.floorMod(cut, whole.length));
        assertThatThrownBy(() -> Cbor.decode(part)).isInstanceOf(MalformedMessageException.class);
    }

    @Test
    void deeplyNestedListsAreRejected() {
        byte[] lists = new byte[100_000];
        Arrays.fill(lists, (byte) 0x81);
        assertThatThrownBy(() -> Cbor.decode(lists)).isInstanceOf(MalformedMessageException.class);
    }
}
