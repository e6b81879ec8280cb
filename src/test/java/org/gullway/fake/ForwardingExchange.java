package org.gullway.fake;

import java.time.Duration;
import org.gullway.transport.HttpExchange;

/** An exchange that delegates to another exchange. Subclasses override individual methods. */
public abstract class ForwardingExchange implements HttpExchange {
    private final HttpExchange exchange;

    protected ForwardingExchange(HttpExchange exchange) {
        this.exchange = exchange;
    }

    @Override
    public String method() {
        return exchange.method();
    }

    @Override
    public String path() {
        return exchange.path();
    }

    @Override
    public String query() {
        return exchange.query();
    }

    @Override
    public byte[] body() {
        return exchange.body();
    }

    @Override
    public void respond(int status, byte[] content) {
        exchange.respond(status, content);
    }

    @Override
    public void reject(int status, Duration retryAfter) {
        exchange.reject(status, retryAfter);
    }
}
