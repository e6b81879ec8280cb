package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.protocol.MachineType;
import org.gullway.transport.EventLoop;

/** Refreshes the catalog of machine types periodically. */
final class MachineTypeRefresh {
    private static final Duration INTERVAL = Duration.ofSeconds(30);
    /**
     * Interval while the catalog is empty, and delay after a failed request if it is not empty. Short because tasks
     * cannot be placed without machine types.
     */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final EventLoop loop;
    private final CloudClient client;
    private final MachineTypeCatalog catalog;
    private final Runnable onChange;
    private Instant intervalStartedAt = Instant.MIN;

    MachineTypeRefresh(EventLoop loop, CloudClient client, MachineTypeCatalog catalog, Runnable onChange) {
        this.loop = loop;
        this.client = client;
        this.catalog = catalog;
        this.onChange = onChange;
    }

    /** Fetches the machine types if the interval has passed and the rate limit allows it. */
    void refresh(Instant now) {
        Duration interval = catalog.isEmpty() ? RETRY_DELAY : INTERVAL;
        if (!intervalStartedAt.plus(interval).isAfter(now) && client.tryAcquire()) {
            intervalStartedAt = now;
            client.fetchMachineTypes(this::onResponse);
        }
    }

    private void onResponse(Optional<List<MachineType>> types) {
        if (types.isPresent()) {
            catalog.update(types.get());
            onChange.run();
        } else {
            // Makes the next request due after the retry delay, or immediately if the catalog is empty.
            intervalStartedAt = loop.now().minus(INTERVAL).plus(RETRY_DELAY);
        }
    }
}
