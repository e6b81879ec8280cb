package org.gullway.storage;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.transport.TokenBucket;

/** Confirms that records of the cluster state are current, with transactions that have conditions but no changes. */
final class LinearizableReader {
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requestLimit;

    LinearizableReader(StateStoreClient store, ClusterState clusterState, TokenBucket requestLimit) {
        this.store = store;
        this.clusterState = clusterState;
        this.requestLimit = requestLimit;
    }

    /** See {@link ReplicatedState#confirmVersions}. */
    void confirmVersions(Set<String> keys, Consumer<LinearizableRead> callback) {
        requestLimit.consume(1);
        store.commit(
                keys, clusterState::version, Map.of(), 0, outcome -> callback.accept(LinearizableRead.of(outcome)));
    }

    /** See {@link ReplicatedState#confirmationDelay}. */
    Duration batchingDelay() {
        return requestLimit.batchingDelay();
    }

    /** See {@link ReplicatedState#timeUntilConfirmation}. */
    Duration timeUntilAvailable(int count) {
        return requestLimit.timeUntilAvailable(count);
    }
}
