package org.gullway.api;

import org.gullway.golden.GoldenFile;
import org.gullway.protocol.ErrorMessage;
import org.gullway.protocol.JobState;
import org.gullway.protocol.JobStatus;
import org.junit.jupiter.api.Test;

/** Compares the encoded job states and errors in responses to users with the bytes that an earlier version wrote. */
class GoldenResponsesTest {
    private static final GoldenFile GOLDEN = GoldenFile.of("answers");

    @Test
    void encodedStatesAndErrorsAreUnchanged() {
        for (JobState state : JobState.values()) {
            GOLDEN.check(
                    "state-" + state.wireName(), UserResponses.encodeState(new JobStatus("run-000412", state, 3, 2)));
        }
        GOLDEN.check("error", ErrorMessage.encode("herd is missing"));
    }
}
