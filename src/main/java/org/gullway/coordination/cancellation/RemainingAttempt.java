package org.gullway.coordination.cancellation;

import java.time.Instant;
import org.gullway.coordination.model.AttemptId;
import org.gullway.protocol.Count;

/**
 * An attempt of a cancelled job that may still exist: its machine is on record in the same agent epoch.
 *
 * @param cancelledAt the wall-clock time at which the job was cancelled
 */
record RemainingAttempt(AttemptId id, String machine, Count agentEpoch, Instant cancelledAt) {}
