package org.gullway.transport;

import java.time.Duration;

/** A received request and its response. The receiver must respond exactly once, immediately or later. */
public interface HttpExchange {
    String method();

    /** The path without the query. */
    String path();

    /** The query string without the question mark; empty if there is none. */
    String query();

    /** The body, or null if it exceeds the size limit or could not be read. */
    byte[] body();

    void respond(int status, byte[] content);

    /** Responds without a body. */
    default void respond(int status) {
        respond(status, new byte[0]);
    }

    /** Responds without a body, with a {@code Retry-After} header that asks the client to retry after the duration. */
    void reject(int status, Duration retryAfter);
}
