package org.gullway.controller;

import java.util.HashMap;
import java.util.Map;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.agents.CompletionBuffer;
import org.gullway.coordination.cancellation.CancellationEnforcer;
import org.gullway.coordination.cancellation.CancellationWatermark;
import org.gullway.coordination.cancellation.LeaseRenewalPolicy;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.NetworkPartitionSettings;
import org.gullway.protocol.Settings;

/** The components that manage agents: reconciliation, lease renewal, completions and cancellations. */
record AgentComponents(
        AgentReconciler reconciler,
        CompletionBuffer completionBuffer,
        CancellationEnforcer cancellationEnforcer,
        CancellationWatermark cancellationWatermark,
        LeaseRenewalPolicy leaseRenewal) {
    static AgentComponents create(ControllerEnvironment environment) {
        Settings settings = environment.settings();
        ClusterState clusterState = environment.clusterState();
        CompletionBuffer completionBuffer = new CompletionBuffer(clusterState);
        CancellationEnforcer cancellationEnforcer =
                new CancellationEnforcer(clusterState, settings.cancellationLimit());
        Map<String, String> zoneByPeer = new HashMap<>();
        settings.peers().forEach(peer -> zoneByPeer.put(peer.name(), peer.zone()));
        AgentReconciler reconciler = new AgentReconciler(
                clusterState,
                environment.self(),
                settings.heartbeatInterval(),
                new NetworkPartitionSettings(zoneByPeer, settings.cancellationLimit()),
                completionBuffer,
                cancellationEnforcer);
        LeaseRenewalPolicy leaseRenewal = new LeaseRenewalPolicy(
                clusterState,
                environment.self(),
                cancellationEnforcer,
                settings.cancellationLimit(),
                settings.agentLease());
        CancellationWatermark cancellationWatermark = new CancellationWatermark(clusterState, zoneByPeer.keySet());
        return new AgentComponents(
                reconciler, completionBuffer, cancellationEnforcer, cancellationWatermark, leaseRenewal);
    }
}
