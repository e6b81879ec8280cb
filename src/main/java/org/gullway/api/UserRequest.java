package org.gullway.api;

import java.time.Instant;
import org.gullway.transport.HttpExchange;

/**
 * A request of a user and when it arrived.
 *
 * @param arrivedAt when the request arrived; the response must not contain a state that was already outdated by then
 */
record UserRequest(HttpExchange exchange, Instant arrivedAt) {}
