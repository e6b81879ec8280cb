package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gullway.coordination.model.CordonedMachines;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Stored encoding of the set of cordoned machines. */
final class CordonedMachinesFormat implements RecordFormat<CordonedMachines> {
    @Override
    public ObjectNode encode(CordonedMachines cordoned) {
        ObjectNode node = Cbor.map();
        ArrayNode names = node.putArray("machines");
        cordoned.names().forEach(names::add);
        return node;
    }

    @Override
    public CordonedMachines decode(String name, JsonNode value) throws MalformedMessageException {
        List<String> names = MessageFields.of(value).textsOrNull("machines");
        return new CordonedMachines(names == null ? Set.of() : new LinkedHashSet<>(names));
    }
}
