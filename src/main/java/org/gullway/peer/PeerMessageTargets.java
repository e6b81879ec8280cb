package org.gullway.peer;

import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.scheduling.BestEffortQueue;

/** The components that process the messages of other controllers. */
public record PeerMessageTargets(
        BestEffortQueue bestEffortQueue,
        AgentReconciler agentReconciler,
        CancellationEnforcer cancellationEnforcer,
        CancellationWatermark cancellationWatermark,
        LeaseRenewalPolicy leaseRenewal) {}
