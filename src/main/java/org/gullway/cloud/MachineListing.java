package org.gullway.cloud;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.gullway.protocol.CloudMessages;
import org.gullway.protocol.CloudMessages.ListedMachine;

/** Fetches the cloud provider's machine list periodically, page by page. */
final class MachineListing {
    private static final Duration INTERVAL = Duration.ofSeconds(4);

    private final CloudClient client;
    private final Consumer<List<ListedMachine>> listener;
    private Instant startedAt = Instant.MIN;
    private boolean inProgress;
    private boolean completedOnce;

    /** @param listener receives each complete list */
    MachineListing(CloudClient client, Consumer<List<ListedMachine>> listener) {
        this.client = client;
        this.listener = listener;
    }

    /** Returns whether at least one complete list was fetched. */
    boolean isCompletedOnce() {
        return completedOnce;
    }

    /**
     * Starts to fetch a new list if the interval has passed, no other fetch is in progress and the rate limit allows
     * it.
     */
    void refresh(Instant now) {
        if (!inProgress && !startedAt.plus(INTERVAL).isAfter(now) && client.tryAcquire()) {
            startedAt = now;
            fetchPage("", new ArrayList<>());
        }
    }

    private void fetchPage(String after, List<ListedMachine> machines) {
        inProgress = true;
        client.fetchMachines(after, page -> onPage(page, machines));
    }

    private void onPage(Optional<CloudMessages.Page> response, List<ListedMachine> machines) {
        inProgress = false;
        if (response.isEmpty()) {
            return;
        }
        CloudMessages.Page page = response.get();
        machines.addAll(page.machines());
        if (page.more() && page.machines().isEmpty()) {
            // The next page begins after a machine of this one, so without any the list cannot be completed.
            return;
        }
        if (page.more()) {
            fetchPage(page.machines().get(page.machines().size() - 1).name(), machines);
        } else {
            completedOnce = true;
            listener.accept(machines);
        }
    }
}
