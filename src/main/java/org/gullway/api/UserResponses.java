package org.gullway.api;

import java.time.Duration;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.HttpStatus;

/** Bodies of responses to users, and all rejections; for responses with the state of a job see {@link LinearizableResponses}. */
final class UserResponses {
    /** When a user whose request was rejected temporarily may retry. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    static final byte[] EMPTY_BODY = new byte[0];

    private UserResponses() {}

    /** The state of a job without counts of its tasks. */
    static byte[] encodeState(JobStatus status) {
        return Cbor.encode(Cbor.map()
                .put("name_id", status.id())
                .put("tide", status.state().wireName()));
    }

    /** The reason of a rejection. */
    static byte[] encodeError(String reason) {
        return Cbor.encode(Cbor.map().put("error", reason));
    }

    /** Rejects a request about something that is no job id, so that there is no such job. */
    static void rejectInvalidId(UserRequest request) {
        request.exchange().respond(HttpStatus.NOT_FOUND, EMPTY_BODY);
    }

    /** Rejects a request that does not have the stated form. */
    static void rejectMalformed(UserRequest request, String reason) {
        request.exchange().respond(HttpStatus.BAD_REQUEST, encodeError(reason));
    }

    /** Rejects a request since too many are pending. */
    static void rejectOverloaded(UserRequest request, Duration retryAfter) {
        request.exchange().reject(HttpStatus.TOO_MANY_REQUESTS, retryAfter);
    }

    /** Rejects a request that this controller cannot answer now. */
    static void rejectTemporarily(UserRequest request) {
        request.exchange().reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
    }
}
