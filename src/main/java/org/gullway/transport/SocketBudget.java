package org.gullway.transport;

/**
 * Divides the sockets that the platform allows this process. A reserve is kept for connections to the state store, the
 * cloud provider and the other controllers, and for closed connections whose sockets remain because the peer is
 * unreachable. Accepted connections take their sockets from the rest; what they leave is available for connections to
 * agents.
 *
 * <p>When the number of accepted connections comes close to its limit, each connection is closed after the next
 * response, so that connections of users and health checks can still be accepted. Otherwise the number could reach the
 * limit, at which no new connections are accepted and the service is unavailable for its users. A single remaining
 * controller can reach the limit, because each agent takes two connections.
 */
public final class SocketBudget {
    /** Share of all sockets that accepted connections may take. */
    private static final double MAX_ACCEPTED_SHARE = 0.78;
    /** Share of all sockets beyond which accepted connections are closed after each response. */
    private static final double NEAR_ACCEPT_LIMIT_SHARE = 0.68;
    /** Share of all sockets that accepted and outgoing connections may take together; the others are the reserve. */
    private static final double UNRESERVED_SHARE = 0.85;
    /** Outgoing connections that are allowed even if accepted connections leave no sockets for them. */
    private static final int MIN_OUTGOING = 8;

    private final int limit;
    private int accepted;

    /** @param limit sockets that the process may have open at the same time */
    public SocketBudget(int limit) {
        this.limit = limit;
    }

    /** The number of accepted connections that may be open at the same time. */
    int maxAccepted() {
        return Math.max(1, (int) (limit * MAX_ACCEPTED_SHARE));
    }

    /** @param change number of connections that were accepted; negative if connections were closed */
    void onAcceptedChange(int change) {
        accepted += change;
    }

    /** Returns whether connections should be closed after their response so that new ones can be accepted. */
    public boolean isNearAcceptLimit() {
        return accepted > limit * NEAR_ACCEPT_LIMIT_SHARE;
    }

    /**
     * The number of outgoing connections that may be open at the same time: the sockets left without the reserve, but
     * at least {@link #MIN_OUTGOING}, even if these use the reserve.
     */
    int maxOutgoing() {
        return Math.max(MIN_OUTGOING, (int) (limit * UNRESERVED_SHARE) - accepted);
    }
}
