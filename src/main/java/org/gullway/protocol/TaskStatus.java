package org.gullway.protocol;

/** One attempt of a task as its agent sees it; {@code cause} is null until the attempt has ended. */
public record TaskStatus(TaskId task, long attempt, Phase phase, Cause cause, boolean checkpointed) {
    /** How far the attempt has come; in all phases but {@code ENDED} it uses its resources. */
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
                    // A live state of a later protocol uses resources like a running task.
                default -> RUNNING;
            };
        }
    }

    /** Why the attempt ended; causes of later protocols are {@code OTHER}. */
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
