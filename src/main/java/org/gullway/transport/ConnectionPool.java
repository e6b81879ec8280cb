package org.gullway.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Pools outgoing connections within a socket budget. Idle connections are kept for later requests; when the budget is
 * used up, the connection that has been idle longest is closed to make room for a new one.
 *
 * <p>The client library cannot cancel a connection attempt. An abandoned attempt (one whose request has timed out)
 * holds its socket until the operating system ends it. It therefore counts against the budget, and until it ends no
 * other connection to the same address is opened.
 *
 * <p>Connections to essential addresses (state store, cloud provider, peers) are never refused: they are few, their
 * requests are rate-limited, and the budget leaves a reserve for them. Without the reserve, hundreds of unreachable
 * agents could use up the sockets that this controller needs to renew its membership lease.
 */
final class ConnectionPool<C> {
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    private final SocketBudget socketBudget;
    private final Set<String> essential;
    private final Consumer<C> closer;
    /** Address by idle connection; the connection that has been idle longest comes first. */
    private final Map<C, String> idle = new LinkedHashMap<>();

    private final Map<String, Deque<C>> idleByAddress = new HashMap<>();
    /** Number of abandoned connection attempts, by address. */
    private final Map<String, Integer> abandonedConnects = new HashMap<>();

    private int open;

    ConnectionPool(SocketBudget socketBudget, Set<String> essential, Consumer<C> closer) {
        this.socketBudget = socketBudget;
        this.essential = essential;
        this.closer = closer;
    }

    /**
     * Removes an idle connection to the address from the pool and returns it, or null if there is none. Idle
     * connections that fail the test are discarded.
     */
    C takeIdle(String address, Predicate<C> isUsable) {
        while (idleByAddress.containsKey(address)) {
            C connection = idleByAddress.get(address).peekLast();
            removeIdle(connection);
            if (isUsable.test(connection)) {
                return connection;
            }
            discard(connection);
        }
        return null;
    }

    /**
     * Returns whether an abandoned attempt forbids another connection to the address. Always false for essential
     * addresses.
     */
    boolean blocksNewConnection(String address) {
        return abandonedConnects.containsKey(address) && !essential.contains(address);
    }

    /**
     * Reserves a socket for a new connection, closing idle connections if necessary. Returns false if the budget is
     * used up. The reservation lasts until the connection attempt fails or the connection is closed.
     */
    boolean tryReserve(String address) {
        if (!essential.contains(address)) {
            while (open >= socketBudget.maxOutgoing() && !idle.isEmpty()) {
                C oldest = idle.keySet().iterator().next();
                removeIdle(oldest);
                discard(oldest);
            }
            if (open >= socketBudget.maxOutgoing()) {
                return false;
            }
        }
        open++;
        return true;
    }

    private void removeIdle(C connection) {
        String address = idle.remove(connection);
        Deque<C> sameAddress = idleByAddress.get(address);
        sameAddress.remove(connection);
        if (sameAddress.isEmpty()) {
            idleByAddress.remove(address);
        }
    }

    /** Records that a request has timed out while its connection attempt is still in progress. */
    void abandon(String address) {
        abandonedConnects.merge(address, 1, Integer::sum);
    }

    /** Records that an abandoned connection attempt has succeeded or failed. */
    void onAbandonedConnectEnded(String address) {
        abandonedConnects.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    }

    void onConnectFailed() {
        open--;
    }

    /**
     * Returns a connection to the pool after its request. Closes it instead if the address has enough idle connections
     * or the budget is exceeded.
     */
    void putIdle(String address, C connection) {
        Deque<C> sameAddress = idleByAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (sameAddress.size() >= MAX_IDLE_PER_ADDRESS
                || (open > socketBudget.maxOutgoing() && !essential.contains(address))) {
            if (sameAddress.isEmpty()) {
                idleByAddress.remove(address);
            }
            discard(connection);
            return;
        }
        sameAddress.addLast(connection);
        idle.put(connection, address);
    }

    /** Closes a connection that is not in the pool and releases its socket. */
    void discard(C connection) {
        open--;
        closer.accept(connection);
    }

    /** Removes an idle connection that the peer has closed. A connection in use is discarded by its request instead. */
    void onClosedByPeer(C connection) {
        if (idle.containsKey(connection)) {
            removeIdle(connection);
            open--;
        }
    }

    int openCount() {
        return open;
    }
}
