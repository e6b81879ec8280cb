package org.gullway.transport;

/**
 * Divides the sockets that the platform allows this process. A reserve is for the state store, the cloud, the other
 * controllers, and connections that linger after they were closed since the other side is unreachable. The rest goes to
 * connections that were accepted and, as far as these leave any, to those that are opened to agents.
 *
 * <p>Once a large part is accepted, connections are closed with each response, so that new ones of users and of health checks are
 * always accepted: beyond the limit they would fail, and with them the service. A controller alone with all agents of a
 * fleet has two connections for each.
 */
public final class SocketBudget {
    private static final double MAX_ACCEPTED_SHARE = 0.78;
    private static final double CROWDED_SHARE = 0.68;
    private static final double UNRESERVED_SHARE = 0.85;
    private static final int MIN_FOR_AGENTS = 8;

    private final int limit;
    private int accepted;

    /** @param limit sockets that the process may have open at a time */
    public SocketBudget(int limit) {
        this.limit = limit;
    }

    /** Connections that may be accepted at a time. */
    int maxAccepted() {
        return Math.max(1, (int) (limit * MAX_ACCEPTED_SHARE));
    }

    /** Counts connections that were accepted, and their ends. */
    void onAcceptedChange(int change) {
        accepted += change;
    }

    /** Whether connections should be closed with the response, so that others can be accepted. */
    public boolean isCrowded() {
        return accepted > limit * CROWDED_SHARE;
    }

    /** How many connections we may have open, apart from the reserve. */
    int availableForAgents() {
        return Math.max(MIN_FOR_AGENTS, (int) (limit * UNRESERVED_SHARE) - accepted);
    }
}
