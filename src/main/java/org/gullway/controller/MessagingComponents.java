package org.gullway.controller;

import org.gullway.agent.CommandSender;
import org.gullway.coordination.agents.StartAuthorization;
import org.gullway.coordination.scheduling.BestEffortQueue;
import org.gullway.peer.PeerExchange;
import org.gullway.peer.PeerMessageTargets;
import org.gullway.storage.ReplicatedState;

/** The components that send commands to agents and exchange messages with other controllers. */
record MessagingComponents(CommandSender commandSender, PeerExchange peerExchange) {
    static MessagingComponents create(
            ControllerEnvironment environment,
            ReplicatedState replicatedState,
            AgentComponents agents,
            BestEffortQueue bestEffortQueue,
            Monitoring monitoring) {
        CommandSender commandSender = new CommandSender(
                environment.loop(),
                environment.httpClient(),
                agents.reconciler(),
                agents.cancellationEnforcer(),
                new StartAuthorization(environment.clusterState(), environment.self()),
                replicatedState::holdsValidLease,
                monitoring.invariantMonitor(),
                monitoring.metrics(),
                environment.requestCycle());
        PeerExchange peerExchange = new PeerExchange(
                environment.loop(),
                environment.httpClient(),
                environment.self(),
                environment.settings().peers(),
                new PeerMessageTargets(
                        bestEffortQueue,
                        agents.reconciler(),
                        agents.cancellationEnforcer(),
                        agents.cancellationWatermark(),
                        agents.leaseRenewal()),
                replicatedState::knownThrough,
                environment.requestCycle());
        return new MessagingComponents(commandSender, peerExchange);
    }
}
