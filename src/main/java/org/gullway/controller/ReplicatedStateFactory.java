package org.gullway.controller;

import java.time.Duration;
import org.gullway.coordination.membership.Membership;
import org.gullway.protocol.Settings;
import org.gullway.storage.ReplicatedState;
import org.gullway.storage.StateStoreClient;

/**
 * Creates the replicated state from the state store's address, the rate limits and the lease durations in the settings.
 */
final class ReplicatedStateFactory {
    private static final Duration MIN_LONG_POLL_TIMEOUT = Duration.ofMillis(250);
    private static final Duration MAX_LONG_POLL_TIMEOUT = Duration.ofSeconds(1);
    /**
     * How many watches can time out, one after the other, within the renewal window (the cancellation limit minus the
     * duration of an agent's lease), unless the minimum or maximum timeout applies. Agents' leases are renewed only
     * while the cluster state is not older than the renewal window, so each watch may take only a small part of the
     * window.
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
                longPollTimeout(settings),
                environment.requestCycle());
    }

    private static ReplicatedState.StoreRateLimits rateLimits(Settings settings) {
        return new ReplicatedState.StoreRateLimits(
                settings.stateChangesPerSecond(),
                settings.stateRequestsPerSecond(),
                settings.peers().size() + 1);
    }

    private static Duration longPollTimeout(Settings settings) {
        Duration timeout =
                settings.cancellationLimit().minus(settings.agentLease()).dividedBy(WATCHES_PER_RENEWAL_WINDOW);
        if (timeout.compareTo(MAX_LONG_POLL_TIMEOUT) > 0) {
            return MAX_LONG_POLL_TIMEOUT;
        }
        return timeout.compareTo(MIN_LONG_POLL_TIMEOUT) < 0 ? MIN_LONG_POLL_TIMEOUT : timeout;
    }
}
