package org.gullway.transport;

import java.util.function.Consumer;

/** Sends requests to other processes. */
@FunctionalInterface
public interface HttpClient {
    /**
     * Sends the request. The callback is called exactly once, on the event loop, at the latest when the request times
     * out.
     */
    void call(String address, HttpRequest request, Consumer<HttpResponse> callback);
}
