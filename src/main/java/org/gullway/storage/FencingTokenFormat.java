package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gullway.coordination.model.FencingToken;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Stored encoding of the cluster's fencing token. */
final class FencingTokenFormat implements RecordFormat<FencingToken> {
    @Override
    public ObjectNode encode(FencingToken token) {
        ObjectNode node = Cbor.map();
        node.set("epoch", token.value().toNode());
        return node;
    }

    @Override
    public FencingToken decode(String name, JsonNode value) throws MalformedMessageException {
        return new FencingToken(MessageFields.of(value).count("epoch"));
    }
}
