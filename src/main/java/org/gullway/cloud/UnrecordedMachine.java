package org.gullway.cloud;

import java.time.Instant;

/**
 * A provisioned machine that has no record in the state store yet.
 *
 * @param provisionedAt null if the time of the transaction that records it shall be taken
 */
record UnrecordedMachine(String type, String zone, boolean spot, Instant provisionedAt) {
    Instant provisionedAtOr(Instant now) {
        return provisionedAt == null ? now : provisionedAt;
    }
}
