package org.gullway.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;

/** Heartbeats with given values in their counts. */
final class HeartbeatCounts {
    /** Stands for a value of other bytes; no other value of the heartbeat has these bytes. */
    private static final long PLACEHOLDER = 0x1234_5678_9abc_def0L;

    private static final HexFormat HEX = HexFormat.of();

    private HeartbeatCounts() {}

    private static ObjectNode heartbeat() {
        ObjectNode node = Cbor.map()
                .put("perch", "vm-000231")
                .put("endpoint", "10.1.0.232:9000")
                .put("breed", "g8")
                .put("shore", "a")
                .put("driftwood", true)
                .put("flight", 1)
                .put("tally", 1)
                .put("baton", 1);
        node.putArray("legs")
                .addObject()
                .put("leg", "run-000412/0")
                .put("launch", 1)
                .put("tide", "running");
        return node;
    }

    /** Returns what is read of a heartbeat with the count in each field. */
    static Heartbeat read(Count count) throws MalformedMessageException {
        ObjectNode node = heartbeat();
        node.set("flight", count.toNode());
        node.set("tally", count.toNode());
        node.set("baton", count.toNode());
        ((ObjectNode) node.path("legs").get(0)).set("launch", count.toNode());
        return Heartbeat.parse(Cbor.encode(node), machine -> null);
    }

    /** Returns an encoded heartbeat in which the field has this encoded value. */
    static byte[] withRawValue(String field, String valueHex) {
        ObjectNode node = heartbeat();
        ObjectNode map = field.equals("launch") ? (ObjectNode) node.path("legs").get(0) : node;
        map.put(field, PLACEHOLDER);
        String encoded = HEX.formatHex(Cbor.encode(node));
        return HEX.parseHex(encoded.replace("1b" + HEX.toHexDigits(PLACEHOLDER), valueHex));
    }
}
