package org.gullway.cloud;

import java.time.Instant;

/**
 * A provisioned machine that has no record in the state store yet.
 *
 * @param provisionedAt the provisioning time by the wall clock, or null if the record takes the time of its transaction
 */
record UnrecordedMachine(String type, String zone, boolean spot, Instant provisionedAt) {
    Instant provisionedAtOr(Instant wallClockTime) {
        return provisionedAt == null ? wallClockTime : provisionedAt;
    }
}
