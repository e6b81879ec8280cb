package org.gullway.storage;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.gullway.coordination.model.ClusterState;
import org.gullway.protocol.Count;
import org.gullway.transport.TokenBucket;

/**
 * Compares key versions in the cluster state with those in the state store, with transactions that have conditions but
 * no changes. These comparisons are linearizable.
 */
final class VersionChecker {
    private final StateStoreClient store;
    private final ClusterState clusterState;
    private final TokenBucket requestLimit;

    VersionChecker(StateStoreClient store, ClusterState clusterState, TokenBucket requestLimit) {
        this.store = store;
        this.clusterState = clusterState;
        this.requestLimit = requestLimit;
    }

    /** See {@link ReplicatedState#checkVersions}. */
    void checkVersions(Set<String> keys, Consumer<VersionCheckResult> callback) {
        requestLimit.consume(1);
        store.commit(
                keys,
                clusterState::version,
                Map.of(),
                Count.ZERO,
                outcome -> callback.accept(VersionCheckResult.of(outcome)));
    }

    /** See {@link ReplicatedState#versionCheckDelay}. */
    Duration batchingDelay() {
        return requestLimit.batchingDelay();
    }

    /** See {@link ReplicatedState#timeUntilVersionChecks}. */
    Duration timeUntilAvailable(int count) {
        return requestLimit.timeUntilAvailable(count);
    }
}
