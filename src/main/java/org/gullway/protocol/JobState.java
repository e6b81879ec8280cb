package org.gullway.protocol;

/** The state of a job as users see it. */
public enum JobState {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("aborted");

    private final String wireName;

    JobState(String wireName) {
        this.wireName = wireName;
    }

    public String wireName() {
        return wireName;
    }

    public boolean isFinal() {
        return this == DONE || this == CANCELLED;
    }

    /** Returns the state with this name in the protocol. */
    public static JobState of(String wireName) throws MalformedMessageException {
        for (JobState state : values()) {
            if (state.wireName.equals(wireName)) {
                return state;
            }
        }
        throw new MalformedMessageException("unknown job state " + wireName);
    }
}
