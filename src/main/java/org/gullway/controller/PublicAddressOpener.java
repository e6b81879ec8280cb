package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.placement.MachineTypeCatalog;

/**
 * Opens the public address of a starting controller once the other controllers are members too, or after a limited
 * wait. If one controller opened its public address before the others, it would receive the heartbeats of all agents at
 * once, and the load could make it lose its membership. A peer that does not join delays the opening only by the
 * limited wait.
 */
final class PublicAddressOpener {
    private static final Duration MAX_WAIT_FOR_PEERS = Duration.ofMillis(2500);

    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final Set<String> peerNames;
    /** Opens the public address; null until the controller starts, and again after the address was opened. */
    private Runnable openAction;

    private Instant waitingForPeersSince;

    PublicAddressOpener(ClusterState clusterState, MachineTypeCatalog machineTypes, Set<String> peerNames) {
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.peerNames = peerNames;
    }

    /** Sets the action that opens the public address; it is run at most once. */
    void setOpenAction(Runnable action) {
        openAction = action;
    }

    /**
     * Opens the public address if the machine types are known, and all other controllers are members or the wait for
     * them has timed out. Must be called only while this controller holds a valid lease.
     */
    void openIfReady(Instant now) {
        if (openAction == null || machineTypes.isEmpty()) {
            return;
        }
        if (waitingForPeersSince == null) {
            waitingForPeersSince = now;
        }
        if (clusterState.members().keySet().containsAll(peerNames)
                || waitingForPeersSince.plus(MAX_WAIT_FOR_PEERS).isBefore(now)) {
            openAction.run();
            openAction = null;
        }
    }
}
