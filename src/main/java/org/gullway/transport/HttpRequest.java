package org.gullway.transport;

import java.time.Duration;

/**
 * A request to another process.
 *
 * @param timeout how long its caller waits for a response
 */
// Bodies are passed on and never compared.
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String path, byte[] body, Duration timeout) {
    private static final byte[] EMPTY = new byte[0];

    public static HttpRequest get(String path, Duration limit) {
        return new HttpRequest("GET", path, EMPTY, limit);
    }

    public static HttpRequest post(String path, byte[] body, Duration limit) {
        return new HttpRequest("POST", path, body, limit);
    }

    public static HttpRequest delete(String path, Duration limit) {
        return new HttpRequest("DELETE", path, EMPTY, limit);
    }
}
