package org.gullway.storage;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.transport.TokenBucket;

/** Confirms that records of the view are the newest, by commits that have guards but no changes. */
final class LinearizableReader {
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requests;

    LinearizableReader(StateStoreClient store, ClusterState clusterState, TokenBucket requests) {
        this.store = store;
        this.clusterState = clusterState;
        this.requests = requests;
    }

    /** See {@link ReplicatedState#confirmVersions}. */
    void verify(Set<String> keys, Consumer<LinearizableRead> callback) {
        requests.consume(1);
        store.commit(
                keys, clusterState::version, Map.of(), 0, outcome -> callback.accept(LinearizableRead.of(outcome)));
    }

    Duration pause() {
        return requests.batchingDelay();
    }

    /** How long it takes until so many verifications may have been sent. */
    Duration waitFor(int count) {
        return requests.timeUntilAvailable(count);
    }
}
