package org.gullway.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gullway.coordination.agents.AgentReconciler;
import org.gullway.coordination.failover.Reconciliation;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.quota.QuotaPartitioner;
import org.gullway.coordination.quota.TeamQuotas;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.coordination.scheduling.DeadlinePolicy;
import org.gullway.coordination.scheduling.JobBackoff;
import org.gullway.coordination.scheduling.ReservedScheduler;
import org.gullway.coordination.scheduling.ScavengerScheduler;
import org.gullway.coordination.scheduling.SchedulingContext;
import org.gullway.protocol.Settings;

/** The components that place tasks, and that divide quotas, jobs and machines among the controllers. */
record SchedulingComponents(
        JobBackoff backoff,
        ReservedScheduler reservedScheduler,
        ScavengerScheduler scavengerScheduler,
        BestEffortQueue bestEffortQueue,
        Reconciliation reconciliation,
        QuotaPartitioner quotaPartitioner) {
    /**
     * Builds the components.
     *
     * @param random is split, so that each component that makes random decisions has a generator of its own
     * @param offerSender sends resource offers to a peer
     */
    static SchedulingComponents create(
            ControllerEnvironment environment,
            PlacementComponents placement,
            AgentReconciler agentReconciler,
            SplittableRandom random,
            Consumer<BestEffortQueue.OutgoingOffers> offerSender) {
        Settings settings = environment.settings();
        ClusterState clusterState = environment.clusterState();
        TeamQuotas quotas = placement.quotas();
        String node = environment.self().node();
        SchedulingContext context = new SchedulingContext(
                clusterState,
                placement.constraints(),
                quotas,
                new JobBackoff(),
                new DeadlinePolicy(settings.objectives()));
        ScavengerScheduler scavengerScheduler =
                new ScavengerScheduler(context, environment.operatorSettings().spareCapacityFraction());
        BestEffortQueue bestEffortQueue = new BestEffortQueue(
                context,
                scavengerScheduler,
                node,
                settings.heartbeatInterval(),
                random.split(),
                () -> agentReconciler.schedulableMachines(environment.loop().now()),
                offerSender);
        return new SchedulingComponents(
                context.backoff(),
                new ReservedScheduler(context),
                scavengerScheduler,
                bestEffortQueue,
                new Reconciliation(clusterState, quotas, node, random.split()),
                new QuotaPartitioner(clusterState, quotas, node, allNodes(settings)));
    }

    private static List<String> allNodes(Settings settings) {
        List<String> nodes = new ArrayList<>();
        settings.peers().forEach(peer -> nodes.add(peer.name()));
        nodes.add(settings.nodeName());
        return nodes;
    }
}
