package org.gullway.transport;

import java.util.function.Consumer;

/** Sends requests to other processes. */
@FunctionalInterface
public interface HttpClient {
    /** Sends the request; the callback gets exactly one response, on the event loop, within the request's timeout. */
    void call(String address, HttpRequest request, Consumer<HttpResponse> callback);
}
