package org.gullway.protocol;

/** The status of one attempt of a task, as its agent reports it; {@code cause} is null until the attempt has ended. */
public record TaskStatus(TaskId task, long attempt, Phase phase, Cause cause, boolean checkpointed) {
    /** The phase of an attempt. The attempt uses resources of its machine in every phase except {@code ENDED}. */
    public enum Phase {
        FETCHING,
        RUNNING,
        SAVING,
        ENDED;

        static Phase of(String wireName) {
            return switch (wireName) {
                case "fetching", "gathering" -> FETCHING;
                case "saving" -> SAVING;
                case "ended" -> ENDED;
                    // A phase added by a later protocol version is not an end, so the task uses resources like a
                    // running one.
                default -> RUNNING;
            };
        }
    }

    /** Why the attempt ended. A cause added by a later protocol version is read as {@code OTHER}. */
    public enum Cause {
        DONE,
        STOPPED,
        ERROR,
        NO_ROOM,
        BUSY,
        UNKNOWN_JOB,
        OTHER;

        static Cause of(String wireName) {
            return switch (wireName) {
                case "done" -> DONE;
                case "halted" -> STOPPED;
                case "error" -> ERROR;
                case "full" -> NO_ROOM;
                case "busy" -> BUSY;
                case "no_such" -> UNKNOWN_JOB;
                default -> OTHER;
            };
        }
    }

    public boolean isEnded() {
        return phase == Phase.ENDED;
    }
}
