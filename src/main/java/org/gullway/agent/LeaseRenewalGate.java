package org.gullway.agent;

import java.time.Instant;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.protocol.Heartbeat;
import org.gullway.storage.ReplicatedState;

/**
 * Decides whether a response to a heartbeat may renew the agent's lease. This is also possible while this controller's
 * own membership lease is not valid.
 */
final class LeaseRenewalGate {
    private final ReplicatedState replicatedState;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    private boolean hasHeldValidLease;

    LeaseRenewalGate(
            ReplicatedState replicatedState,
            CancellationWatermark cancellationWatermark,
            LeaseRenewalPolicy leaseRenewal) {
        this.replicatedState = replicatedState;
        this.cancellationWatermark = cancellationWatermark;
        this.leaseRenewal = leaseRenewal;
    }

    /**
     * Called in every scheduling cycle in which this controller holds a valid membership lease. After the first call,
     * agents' leases can also be renewed while the membership lease is not valid.
     */
    void onValidLease() {
        hasHeldValidLease = true;
    }

    boolean holdsValidLease() {
        return replicatedState.holdsValidLease();
    }

    /**
     * Returns whether every heartbeat has to be rejected now, regardless of its content.
     *
     * @param holdsValidLease whether this controller holds a valid membership lease
     */
    boolean rejectsAllHeartbeats(boolean holdsValidLease, Instant now) {
        Instant cancellationsKnownThrough = cancellationWatermark.knownThrough(replicatedState.knownThrough());
        return !leaseRenewal.mayRenew(cancellationsKnownThrough, now) || (!holdsValidLease && !hasHeldValidLease);
    }

    /** Returns whether this agent's lease may be renewed although this controller's membership lease is not valid. */
    boolean mayRenewDuringOutage(Heartbeat heartbeat, Instant now) {
        return leaseRenewal.mayRenewDuringOutage(heartbeat, now);
    }
}
