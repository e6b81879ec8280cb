package org.gullway.transport;

import java.util.function.Consumer;

/** Calls other processes. */
@FunctionalInterface
public interface HttpClient {
    /** Makes the call; the callback gets exactly one reply, on the event loop, within the request's time limit. */
    void call(String address, HttpRequest request, Consumer<HttpResponse> callback);
}
