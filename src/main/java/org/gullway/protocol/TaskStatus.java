package org.gullway.protocol;

/**
 * The status of one attempt of a task, as its agent reports it.
 *
 * @param cause why the attempt ended; null until it has ended
 * @param checkpointed whether the agent reports that a checkpoint of the task is stored
 */
public record TaskStatus(TaskId task, Count attempt, Phase phase, Cause cause, boolean checkpointed) {
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
        /** The task is complete. */
        DONE,
        /** The agent stopped the attempt. */
        STOPPED,
        /** The attempt failed. */
        ERROR,
        /** The machine did not have enough free resources to start the attempt. */
        NO_ROOM,
        /** Another attempt of the same task was running on the machine. */
        BUSY,
        /** The agent did not find the job. */
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
