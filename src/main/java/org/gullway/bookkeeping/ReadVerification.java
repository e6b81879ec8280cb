package org.gullway.bookkeeping;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.ClusterView;
import org.gullway.transport.Budget;

/** Confirms that records of the view are the newest, by commits that have guards but no changes. */
final class ReadVerification {
    private final StateStore store;
    private final ClusterView view;
    private final Budget requests;

    ReadVerification(StateStore store, ClusterView view, Budget requests) {
        this.store = store;
        this.view = view;
        this.requests = requests;
    }

    /** See {@link Ledger#verify}. */
    void verify(Set<String> keys, Consumer<Verification> callback) {
        requests.spend(1);
        store.commit(keys, view::mark, Map.of(), 0, outcome -> callback.accept(Verification.of(outcome)));
    }

    Duration pause() {
        return requests.pause();
    }

    /** How long it takes until so many verifications may have been sent. */
    Duration waitFor(int count) {
        return requests.waitFor(count);
    }
}
