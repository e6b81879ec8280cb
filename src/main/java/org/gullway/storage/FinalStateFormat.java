package org.gullway.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.gullway.coordination.model.FinalState;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobRequest;
import org.gullway.protocol.JobState;
import org.gullway.protocol.MalformedMessageException;
import org.gullway.protocol.MessageFields;

/** Stored encoding of a job's final state. Final states are stored outside the watched keys. */
final class FinalStateFormat implements RecordFormat<FinalState> {
    @Override
    public ObjectNode encode(FinalState finalState) {
        return Cbor.map()
                .put("state", finalState.state().wireName())
                .put("tasks", finalState.tasks())
                .put("done", finalState.done());
    }

    @Override
    public FinalState decode(String name, JsonNode value) throws MalformedMessageException {
        MessageFields fields = MessageFields.of(value);
        return new FinalState(
                JobState.of(fields.text("state")),
                fields.countUpTo("tasks", JobRequest.MAX_TASKS),
                fields.countUpTo("done", JobRequest.MAX_TASKS));
    }
}
