package org.gullway.transport;

import java.time.Duration;

/**
 * A request to another process.
 *
 * @param timeout how long the caller waits for a response
 * @param maxResponseBytes a response with a larger body is not read; see {@link HttpResponse.Outcome#TOO_LARGE}
 */
// Array equality is irrelevant: bodies are never compared.
@SuppressWarnings("ArrayRecordComponent")
public record HttpRequest(String method, String path, byte[] body, Duration timeout, int maxResponseBytes) {
    private static final byte[] EMPTY = new byte[0];

    /** A request whose response may have any size. */
    public HttpRequest(String method, String path, byte[] body, Duration timeout) {
        this(method, path, body, timeout, Integer.MAX_VALUE);
    }

    public static HttpRequest get(String path, Duration timeout) {
        return new HttpRequest("GET", path, EMPTY, timeout);
    }

    public static HttpRequest post(String path, byte[] body, Duration timeout) {
        return new HttpRequest("POST", path, body, timeout);
    }

    /** Returns a copy of this request with a limit for the body of the response. */
    public HttpRequest withMaxResponseBytes(int limit) {
        return new HttpRequest(method, path, body, timeout, limit);
    }

    public static HttpRequest delete(String path, Duration timeout) {
        return new HttpRequest("DELETE", path, EMPTY, timeout);
    }
}
