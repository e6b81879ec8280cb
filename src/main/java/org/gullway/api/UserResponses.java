package org.gullway.api;

import java.time.Duration;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.HttpExchange;

/** Forms of answers to users, except those that tell the state of a job: see {@link LinearizableResponses}. */
final class UserResponses {
    /** When a user who was refused for now may come again. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private static final byte[] EMPTY = new byte[0];

    private UserResponses() {}

    /** The state of a job without counts of its tasks. */
    static byte[] state(JobStatus status) {
        return Cbor.encode(Cbor.map()
                .put("name_id", status.id())
                .put("tide", status.state().wire()));
    }

    /** The reason of a refusal. */
    static byte[] error(String why) {
        return Cbor.encode(Cbor.map().put("error", why));
    }

    /** Says of something that is no job id that there is no such job. */
    static void rejectInvalidId(HttpExchange exchange) {
        exchange.respond(404, EMPTY);
    }

    /** Refuses for good and says why. */
    static void rejectInvalid(HttpExchange exchange, int status, String why) {
        exchange.respond(status, error(why));
    }

    /** Refuses for now. */
    static void rejectTemporarily(HttpExchange exchange) {
        exchange.reject(503, RETRY_AFTER);
    }
}
