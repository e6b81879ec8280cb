package org.gullway.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What a user is told about a job. */
public record JobStatus(String id, JobState state, int done, int running) {
    /** The body of the answer to a poll. */
    public ObjectNode toNode() {
        return Cbor.map()
                .put("name_id", id)
                .put("tide", state.wire())
                .put("done", done)
                .put("running", running);
    }
}
