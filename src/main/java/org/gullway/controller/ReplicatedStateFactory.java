package org.gullway.controller;

import java.time.Duration;
import org.gullway.coordination.membership.Membership;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.storage.StateStoreClient;

/** Creates the replicated state, with the limits of the state store that the settings contain. */
final class ReplicatedStateFactory {
    private static final Duration MIN_WATCH_WAIT = Duration.ofMillis(250);
    private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(1);
    /**
     * A watch may wait for the renewal window divided by this number. An agent's lease is renewed only while the age
     * of the cluster state is within the renewal window, which is about the cancellation limit minus the duration of an
     * agent's lease.
     */
    private static final int WATCHES_PER_RENEWAL_WINDOW = 8;

    private ReplicatedStateFactory() {}

    static ReplicatedState create(ControllerEnvironment environment) {
        Settings settings = environment.settings();
        return new ReplicatedState(
                environment.loop(),
                new StateStoreClient(environment.httpClient(), settings.stateAddress()),
                environment.clusterState(),
                new Membership(
                        environment.self(), environment.operatorSettings().membershipLease()),
                rateLimits(settings),
                watchWait(settings),
                environment.requestCycle());
    }

    private static ReplicatedState.StoreRateLimits rateLimits(Settings settings) {
        return new ReplicatedState.StoreRateLimits(
                settings.stateChangesPerSecond(),
                settings.stateRequestsPerSecond(),
                settings.peers().size() + 1);
    }

    private static Duration watchWait(Settings settings) {
        Duration wait =
                settings.cancellationLimit().minus(settings.agentLease()).dividedBy(WATCHES_PER_RENEWAL_WINDOW);
        if (wait.compareTo(MAX_WATCH_WAIT) > 0) {
            return MAX_WATCH_WAIT;
        }
        return wait.compareTo(MIN_WATCH_WAIT) < 0 ? MIN_WATCH_WAIT : wait;
    }
}
