package org.gullway.agent;

import java.time.Instant;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.protocol.Heartbeat;
import org.gullway.storage.ReplicatedState;

/** Decides whether heartbeats may be answered with a renewal of the agent's lease, with and without the state store. */
final class LeaseRenewalGate {
    private final ReplicatedState replicatedState;
    private final CancellationWatermark cancellationWatermark;
    private final LeaseRenewalPolicy leaseRenewal;
    private boolean heldLeaseBefore;

    LeaseRenewalGate(
            ReplicatedState replicatedState,
            CancellationWatermark cancellationWatermark,
            LeaseRenewalPolicy leaseRenewal) {
        this.replicatedState = replicatedState;
        this.cancellationWatermark = cancellationWatermark;
        this.leaseRenewal = leaseRenewal;
    }

    /** From now on renewals are possible also while this controller holds no valid lease. */
    void onLeaseAcquired() {
        heldLeaseBefore = true;
    }

    boolean holdsValidLease() {
        return replicatedState.holdsValidLease();
    }

    /** Whether no heartbeat can be accepted now, whatever it contains. */
    boolean rejectsAllHeartbeats(boolean holdsValidLease, Instant now) {
        Instant knownThrough = cancellationWatermark.knownThrough(replicatedState.knownThrough());
        return !leaseRenewal.mayRenew(knownThrough, now) || (!holdsValidLease && !heldLeaseBefore);
    }

    /** Whether this agent's lease may be renewed while this controller holds no valid lease itself. */
    boolean mayRenewDuringOutage(Heartbeat heartbeat, Instant now) {
        return leaseRenewal.mayRenewDuringOutage(heartbeat, now);
    }
}
