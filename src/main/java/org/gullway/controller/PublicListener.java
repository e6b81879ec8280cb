package org.gullway.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.placement.MachineTypeCatalog;

/**
 * Opens the public address of a controller that has started, once the other controllers are members too. The first to
 * open alone would get the heartbeats of all agents at once, and could lose its membership over them.
 */
final class PublicListener {
    private static final Duration MAX_WAIT_FOR_PEERS = Duration.ofMillis(2500);

    private final ClusterState clusterState;
    private final MachineTypeCatalog machineTypes;
    private final Set<String> peers;
    /** Opens the address; null before the start, and once it is open. */
    private Runnable open;

    private Instant readySince;

    PublicListener(ClusterState clusterState, MachineTypeCatalog machineTypes, Set<String> peers) {
        this.clusterState = clusterState;
        this.machineTypes = machineTypes;
        this.peers = peers;
    }

    /** Sets the action that opens the address; it will be run once. */
    void setOpenAction(Runnable action) {
        open = action;
    }

    /** Opens the address if it is time. To be called only while this controller holds a valid lease. */
    void openIfReady(Instant now) {
        if (open == null || machineTypes.isEmpty()) {
            return;
        }
        if (readySince == null) {
            readySince = now;
        }
        if (clusterState.members().keySet().containsAll(peers)
                || readySince.plus(MAX_WAIT_FOR_PEERS).isBefore(now)) {
            open.run();
            open = null;
        }
    }
}
