package org.gullway.controller;

import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.gullway.agent.HeartbeatAdmission;
import org.gullway.agent.HeartbeatHandler;
import org.gullway.api.JobAdmission;
import org.gullway.api.UserApi;
import org.gullway.coordination.quota.JobFeasibility;
import org.gullway.storage.ReplicatedState;

/** The components that handle requests to the public address. */
record RequestComponents(UserApi userApi, HeartbeatHandler heartbeatHandler, RequestRouter router) {
    /**
     * Builds the components.
     *
     * @param random the generator for the random choice of the owners of best-effort jobs
     * @param isHealthy returns whether health checks succeed now
     */
    static RequestComponents create(
            ControllerEnvironment environment,
            ReplicatedState replicatedState,
            PlacementComponents placement,
            AgentComponents agents,
            Monitoring monitoring,
            RandomGenerator random,
            BooleanSupplier isHealthy) {
        UserApi userApi = newUserApi(environment, replicatedState, placement, agents, monitoring, random);
        HeartbeatHandler heartbeatHandler = new HeartbeatHandler(
                environment.loop(),
                environment.clusterState(),
                replicatedState,
                agents.reconciler(),
                agents.cancellationEnforcer(),
                agents.cancellationWatermark(),
                agents.leaseRenewal(),
                environment.requestCycle());
        RequestRouter router = new RequestRouter(
                environment.loop(),
                agents.leaseRenewal(),
                isHealthy,
                new HeartbeatAdmission(environment.loop(), heartbeatHandler::handle),
                userApi);
        return new RequestComponents(userApi, heartbeatHandler, router);
    }

    private static UserApi newUserApi(
            ControllerEnvironment environment,
            ReplicatedState replicatedState,
            PlacementComponents placement,
            AgentComponents agents,
            Monitoring monitoring,
            RandomGenerator random) {
        return new UserApi(
                environment.loop(),
                environment.clusterState(),
                replicatedState,
                new JobAdmission(
                        placement.machineTypes(),
                        new JobFeasibility(placement.machineTypes(), placement.quotas(), placement.recordCapacity()),
                        random),
                monitoring.metrics(),
                environment.transactionLimits().maxComparedKeys(),
                agents.cancellationEnforcer(),
                monitoring.invariantMonitor()::reportViolation,
                environment.requestCycle());
    }
}
