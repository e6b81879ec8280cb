package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gullway.coordination.model.Incarnation;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Stored encoding of a controller's incarnation, both as a record and as a field of a machine shard. */
final class IncarnationFormat implements RecordFormat<Incarnation> {
    @Override
    public ObjectNode encode(Incarnation incarnation) {
        return toNode(incarnation);
    }

    @Override
    public Incarnation decode(String name, JsonNode value) throws MalformedMessageException {
        return fromFields(MessageFields.of(value));
    }

    static ObjectNode toNode(Incarnation incarnation) {
        return Cbor.map().put("node", incarnation.node()).put("number", incarnation.number());
    }

    static Incarnation fromFields(MessageFields fields) throws MalformedMessageException {
        return new Incarnation(fields.text("node"), fields.longUpTo("number", Long.MAX_VALUE));
    }
}
