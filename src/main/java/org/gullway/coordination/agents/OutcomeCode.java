package org.gullway.coordination.agents;

import java.util.Optional;
import org.gullway.coordination.model.JobRecord.AttemptOutcome;

/** The codes of attempt outcomes in the messages between controllers, which do not depend on the order of the enum. */
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

    /** The outcome; empty if the code is not known to this version. */
    static Optional<AttemptOutcome> toOutcome(byte code) {
        return switch (code) {
            case DONE -> Optional.of(AttemptOutcome.DONE);
            case STOPPED -> Optional.of(AttemptOutcome.STOPPED);
            case FAILED -> Optional.of(AttemptOutcome.FAILED);
            default -> Optional.empty();
        };
    }
}
