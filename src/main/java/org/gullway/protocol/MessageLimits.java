package org.gullway.protocol;

/**
 * The protocol's limit for message sizes, and what follows from it for messages that grow with the number of tasks.
 * Sizes are those of a message written as JSON. The bounds are computed from the longest possible item, so that a
 * message with at most that many items never exceeds the limit.
 */
public final class MessageLimits {
    /** Maximum size of a request, and of a response to an agent or a user. */
    public static final int MAX_MESSAGE_BYTES = 64 * 1024;

    /** Texts in the header of a heartbeat: the machine's name, address, type and zone. */
    private static final int HEARTBEAT_HEADER_TEXTS = 4;

    private static final String LONGEST_TASK_ID =
            "run-" + "9".repeat(JobRequest.MAX_ID_DIGITS) + "/" + (JobRequest.MAX_TASKS - 1);

    private static final String LONGEST_HEARTBEAT_HEADER =
            "{\"perch\":,\"endpoint\":,\"breed\":,\"shore\":,\"driftwood\":false,\"flight\":" + Count.MAX
                    + ",\"tally\":" + Count.MAX + ",\"baton\":" + Count.MAX + ",\"warning_s\":"
                    + Double.MIN_VALUE + ",\"legs\":[]}";
    private static final String LONGEST_LISTED_ATTEMPT = "{\"leg\":\"" + LONGEST_TASK_ID + "\",\"launch\":" + Count.MAX
            + ",\"tide\":\"ended\",\"cause\":\"halted\",\"stored\":false},";

    /**
     * The number of attempts that a heartbeat can list without exceeding {@link #MAX_MESSAGE_BYTES}. An agent lists all
     * attempts on its machine, including those that have ended until it is told to forget them.
     */
    public static final int MAX_LISTED_ATTEMPTS =
            (MAX_MESSAGE_BYTES - maxHeartbeatHeaderBytes()) / LONGEST_LISTED_ATTEMPT.length();

    /**
     * The number of attempts that may be placed on one machine. The rest of the heartbeat is for ended attempts that
     * the agent lists until it is told to forget them; without it, tasks could start only as others are forgotten.
     */
    public static final int MAX_PLACED_ATTEMPTS = MAX_LISTED_ATTEMPTS * 3 / 4;

    /**
     * Heartbeats up to this size are accepted, although agents should not send more than {@link #MAX_MESSAGE_BYTES}. An
     * agent that lists more attempts than fit keeps its lease and its tasks, and its list becomes shorter as they end.
     */
    public static final int MAX_ACCEPTED_HEARTBEAT_BYTES = 16 * MAX_MESSAGE_BYTES;

    private MessageLimits() {}

    private static int maxHeartbeatHeaderBytes() {
        int maxTextBytes = JsonSize.maxOfText(MessageFields.MAX_TEXT_CHARACTERS);
        return LONGEST_HEARTBEAT_HEADER.length() + HEARTBEAT_HEADER_TEXTS * maxTextBytes;
    }
}
