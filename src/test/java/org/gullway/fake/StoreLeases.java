package org.gullway.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gullway.transport.EventLoop;

/** The leases of the state store and their expiry times. */
final class StoreLeases {
    private record Lease(Duration duration, Instant expiresAt) {}

    private final EventLoop loop;
    private final Map<Long, Lease> leases = new HashMap<>();
    private long lastId;

    StoreLeases(EventLoop loop) {
        this.loop = loop;
    }

    void startIdsAt(long last) {
        lastId = last;
    }

    /** Grants a lease and returns its id. */
    long grant(Duration duration) {
        leases.put(++lastId, startingNow(duration));
        return lastId;
    }

    boolean exists(long id) {
        return leases.containsKey(id);
    }

    /** Renews the lease for its full duration. */
    void renew(long id) {
        leases.computeIfPresent(id, (key, lease) -> startingNow(lease.duration()));
    }

    void renewAll() {
        leases.replaceAll((id, lease) -> startingNow(lease.duration()));
    }

    void remove(long id) {
        leases.remove(id);
    }

    List<Long> expired() {
        return leases.entrySet().stream()
                .filter(entry -> !loop.now().isBefore(entry.getValue().expiresAt()))
                .map(Map.Entry::getKey)
                .toList();
    }

    private Lease startingNow(Duration duration) {
        return new Lease(duration, loop.now().plus(duration));
    }
}
