package org.gullway.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** The status of a job as users see it: its state, and how many of its tasks are done and running. */
public record JobStatus(String id, JobState state, int done, int running) {
    /** Encodes this status as the response to a status query. */
    public ObjectNode toNode() {
        return Cbor.map()
                .put("name_id", id)
                .put("tide", state.wireName())
                .put("done", done)
                .put("running", running);
    }
}
