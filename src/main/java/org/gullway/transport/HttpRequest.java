package org.gullway.transport;

import java.time.Duration;

/**
 * A request to another process.
 *
 * @param timeout how long the caller waits for a response
 */
// Array equality is irrelevant: bodies are never compared.
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String path, byte[] body, Duration timeout) {
    private static final byte[] EMPTY = new byte[0];

    public static HttpRequest get(String path, Duration timeout) {
        return new HttpRequest("GET", path, EMPTY, timeout);
    }

    public static HttpRequest post(String path, byte[] body, Duration timeout) {
        return new HttpRequest("POST", path, body, timeout);
    }

    public static HttpRequest delete(String path, Duration timeout) {
        return new HttpRequest("DELETE", path, EMPTY, timeout);
    }
}
