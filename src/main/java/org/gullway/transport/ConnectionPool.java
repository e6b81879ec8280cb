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
 * Outgoing connections within a budget of sockets: idle ones are kept for the next request, and when the budget is used
 * up the one that was idle longest is closed for a new one. A connect that timed out stays open until the system
 * ends it (the client library has no way to end it), so it counts, and there is one at a time to an address.
 *
 * <p>Essential addresses (state store, cloud, peers) are few and their requests are limited, so they are never refused:
 * the budget leaves a reserve for them. Without it, unreachable agents by the hundred would take the sockets by
 * which this controller stays a member.
 */
final class ConnectionPool<C> {
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    private final SocketBudget socketBudget;
    private final Set<String> essential;
    private final Consumer<C> close;
    /** All idle connections with their addresses, the one that was idle longest first. */
    private final Map<C, String> idle = new LinkedHashMap<>();

    private final Map<String, Deque<C>> byAddress = new HashMap<>();
    /** Connects that no request waits for any more. */
    private final Map<String, Integer> abandoned = new HashMap<>();

    private int open;

    ConnectionPool(SocketBudget socketBudget, Set<String> essential, Consumer<C> close) {
        this.socketBudget = socketBudget;
        this.essential = essential;
        this.close = close;
    }

    /** An idle connection to the address that passes the test, or null. */
    C reuse(String address, Predicate<C> usable) {
        while (byAddress.containsKey(address)) {
            C connection = byAddress.get(address).peekLast();
            forget(connection);
            if (usable.test(connection)) {
                return connection;
            }
            discard(connection);
        }
        return null;
    }

    /** Whether a connect to the address is still under way although its request has timed out; no other is begun then. */
    boolean isAbandoned(String address) {
        return abandoned.containsKey(address) && !essential.contains(address);
    }

    /** Whether the budget lets a connect begin now; if so it counts until it has failed or its connection is discarded. */
    boolean mayConnect(String address) {
        if (!essential.contains(address)) {
            while (open >= socketBudget.availableForAgents() && !idle.isEmpty()) {
                C oldest = idle.keySet().iterator().next();
                forget(oldest);
                discard(oldest);
            }
            if (open >= socketBudget.availableForAgents()) {
                return false;
            }
        }
        open++;
        return true;
    }

    private void forget(C connection) {
        String address = idle.remove(connection);
        Deque<C> there = byAddress.get(address);
        there.remove(connection);
        if (there.isEmpty()) {
            byAddress.remove(address);
        }
    }

    /** The request has timed out although its connect is still under way. */
    void abandon(String address) {
        abandoned.merge(address, 1, Integer::sum);
    }

    /** A connect that had been abandoned has ended after all, with or without a connection. */
    void abandonedEnded(String address) {
        abandoned.computeIfPresent(address, (a, n) -> n == 1 ? null : n - 1);
    }

    void connectFailed() {
        open--;
    }

    /** Keeps a connection for the next request. */
    void keep(String address, C connection) {
        Deque<C> there = byAddress.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (there.size() >= MAX_IDLE_PER_ADDRESS
                || (open > socketBudget.availableForAgents() && !essential.contains(address))) {
            if (there.isEmpty()) {
                byAddress.remove(address);
            }
            discard(connection);
            return;
        }
        there.addLast(connection);
        idle.put(connection, address);
    }

    /** Closes a connection that serves no request any more. */
    void discard(C connection) {
        open--;
        close.accept(connection);
    }

    /** The other side has closed a connection; one that serves a request is discarded by it. */
    void closedByPeer(C connection) {
        if (idle.containsKey(connection)) {
            forget(connection);
            open--;
        }
    }

    int open() {
        return open;
    }
}
