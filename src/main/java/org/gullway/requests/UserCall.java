package org.gullway.requests;

import java.time.Instant;
import org.gullway.transport.Call;

/**
 * A user's request with the moment at which it came.
 *
 * @param came no state older than this may be told in the answer
 */
record UserCall(Call call, Instant came) {}
