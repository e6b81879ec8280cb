package org.gullway.api;

import java.time.Duration;
import org.gullway.protocol.Cbor;
import org.gullway.protocol.ErrorMessage;
import org.gullway.protocol.JobStatus;
import org.gullway.transport.HttpStatus;

/**
 * Encodes the bodies of responses to users and sends rejections. Responses that contain the state of a job are sent by
 * {@link LinearizableResponses}.
 */
final class UserResponses {
    /** How long a user is asked to wait before repeating a request that was rejected temporarily. */
    static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    static final byte[] EMPTY_BODY = new byte[0];

    private UserResponses() {}

    /** Encodes the id and state of a job, without its task counts. */
    static byte[] encodeState(JobStatus status) {
        return Cbor.encode(Cbor.map()
                .put("name_id", status.id())
                .put("tide", status.state().wireName()));
    }

    /** Responds with 404 to a request with an invalid job id, since no job can have that id. */
    static void rejectInvalidId(UserRequest request) {
        request.exchange().respond(HttpStatus.NOT_FOUND, EMPTY_BODY);
    }

    /** Responds with 400 and the reason to a request whose body is malformed. */
    static void rejectMalformed(UserRequest request, String reason) {
        request.exchange().respond(HttpStatus.BAD_REQUEST, ErrorMessage.encode(reason));
    }

    /** Responds with 429 to a request that is rejected because too many requests are pending. */
    static void rejectOverloaded(UserRequest request, Duration retryAfter) {
        request.exchange().reject(HttpStatus.TOO_MANY_REQUESTS, retryAfter);
    }

    /** Responds with 503 to a request that this controller cannot answer now; the user may retry it later. */
    static void rejectTemporarily(UserRequest request) {
        request.exchange().reject(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER);
    }
}
