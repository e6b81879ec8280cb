package org.gullway.api;

import java.time.Instant;
import org.gullway.transport.HttpExchange;

/**
 * A request of a user with the moment of its arrival.
 *
 * @param arrivedAt the response must not contain a state older than this
 */
record UserRequest(HttpExchange exchange, Instant arrivedAt) {}
