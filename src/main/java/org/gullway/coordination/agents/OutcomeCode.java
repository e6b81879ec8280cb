package org.gullway.coordination.agents;

import java.util.Optional;
import org.gullway.coordination.model.JobRecord.AttemptOutcome;

/**
 * Codes of attempt outcomes in messages between controllers. They do not depend on the order of the enum constants.
 */
final class OutcomeCode {
    private static final byte DONE = 0;
    private static final byte STOPPED = 1;
    private static final byte FAILED = 2;

    private OutcomeCode() {}

    static byte of(AttemptOutcome outcome) {
        return switch (outcome) {
            case DONE -> DONE;
            case STOPPED -> STOPPED;
            case FAILED -> FAILED;
        };
    }

    /** Returns the outcome, or empty if this version does not know the code. */
    static Optional<AttemptOutcome> toOutcome(byte code) {
        return switch (code) {
            case DONE -> Optional.of(AttemptOutcome.DONE);
            case STOPPED -> Optional.of(AttemptOutcome.STOPPED);
            case FAILED -> Optional.of(AttemptOutcome.FAILED);
            default -> Optional.empty();
        };
    }
}
