package org.gullway.protocol;

/** State of a job as its user sees it. */
public enum JobState {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("aborted");

    private final String wire;

    JobState(String wire) {
        this.wire = wire;
    }

    public String wire() {
        return wire;
    }

    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }

    /** The state with this name in the protocol. */
    public static JobState of(String wire) throws MalformedMessageException {
        for (JobState state : values()) {
            if (state.wire.equals(wire)) {
                return state;
            }
        }
        throw new MalformedMessageException("unknown job state " + wire);
    }
}
