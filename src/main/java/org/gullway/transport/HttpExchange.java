package org.gullway.transport;

import java.time.Duration;

/** One request that was received, with the means to respond, at once or later, always exactly once. */
public interface HttpExchange {
    String method();

    /** The path without the query. */
    String path();

    /** The query without its question mark, empty if there is none. */
    String query();

    /** The body, or null if it was larger than allowed. */
    byte[] body();

    void respond(int status, byte[] content);

    /** Responds without a body. */
    default void respond(int status) {
        respond(status, new byte[0]);
    }

    /** Rejects the request for now, with {@code Retry-After}. */
    void reject(int status, Duration retryAfter);
}
