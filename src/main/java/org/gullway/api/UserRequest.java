package org.gullway.api;

import java.time.Instant;
import org.gullway.transport.HttpExchange;

/**
 * A user's request with the moment at which it came.
 *
 * @param came no state older than this may be told in the answer
 */
record UserRequest(HttpExchange exchange, Instant arrivedAt) {}
