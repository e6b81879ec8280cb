package org.gullway.protocol;

/** State of a job as its user sees it. */
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

    /** The state with this name in the protocol. */
    public static JobState of(String wireName) throws MalformedMessageException {
        for (JobState state : values()) {
            if (state.wireName.equals(wireName)) {
                return state;
            }
        }
        throw new MalformedMessageException("unknown job state " + wireName);
    }
}
