package org.gullway.transport;

/**
 * Divides the sockets that the platform allows this process. A reserve is kept for connections to the state store, the
 * cloud provider and the other controllers, and for closed connections whose sockets remain because the peer is
 * unreachable. Accepted connections take their sockets from the rest; what they leave is available for connections to
 * agents.
 *
 * <p>When the number of accepted connections comes close to its limit, each connection is closed after the next
 * response, so that connections of users and health checks can still be accepted. Beyond the limit they would fail,
 * which makes the service unavailable. The limit can be reached: the only controller left in a cluster has two
 * connections with each agent.
 */
public final class SocketBudget {
    private static final double MAX_ACCEPTED_SHARE = 0.78;
    private static final double NEAR_LIMIT_SHARE = 0.68;
    private static final double UNRESERVED_SHARE = 0.85;
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

    /** Adds to the number of accepted connections that are open; negative when connections are closed. */
    void onAcceptedChange(int change) {
        accepted += change;
    }

    /** Returns whether connections should be closed after their response so that new ones can be accepted. */
    public boolean isNearAcceptLimit() {
        return accepted > limit * NEAR_LIMIT_SHARE;
    }

    /** The number of outgoing connections that may be open at the same time, without using the reserve. */
    int maxOutgoing() {
        return Math.max(MIN_OUTGOING, (int) (limit * UNRESERVED_SHARE) - accepted);
    }
}
