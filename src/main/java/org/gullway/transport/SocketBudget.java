package org.gullway.transport;

/**
 * The sockets that the platform allows this process, and how they are divided: a reserve for the state service, the
 * cloud, the other controllers and connections that are closed but linger since the other side is cut off; the rest goes to connections that others open to us and, as far as these leave
 * any, to those that we open to workers.
 *
 * <p>Once a large part is taken, connections of workers are closed with each answer, so that new ones of users and of
 * health checks are always taken: beyond the limit they would fail, and with them the service (a controller alone with
 * all workers of the fleet deployments has two connections for each). With a reserve of 7% the limit was still reached in
 * a cut zone (dong-xanh-fleet zone, half as many machines again).
 */
public final class SocketBudget {
    private static final double ACCEPTED_PART = 0.78;
    private static final double CROWDED_PART = 0.68;
    private static final double WORKERS_PART = 0.85;
    private static final int LEAST_FOR_WORKERS = 8;

    private final int limit;
    private int accepted;

    /** @param limit sockets that the process may have open at a time */
    public SocketBudget(int limit) {
        this.limit = limit;
    }

    /** Connections that may be accepted at a time. */
    int maxAccepted() {
        return Math.max(1, (int) (limit * ACCEPTED_PART));
    }

    /** To be told of every connection that was accepted, and of its end. */
    void onAcceptedChange(int change) {
        accepted += change;
    }

    /** Whether connections should be closed with the answer, so that others can come. */
    public boolean isCrowded() {
        return accepted > limit * CROWDED_PART;
    }

    /** How many connections we may have open, apart from the reserve. */
    int availableForWorkers() {
        return Math.max(LEAST_FOR_WORKERS, (int) (limit * WORKERS_PART) - accepted);
    }
}
