package org.gullway.api;

import org.gullway.coordination.model.ClusterState;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/**
 * The dependencies that the handlers of submissions, status queries and cancellations share.
 *
 * @param requestCycle requests a scheduling cycle, which commits pending submissions and cancellations
 */
record RequestContext(
        EventLoop loop,
        ClusterState clusterState,
        ReplicatedState replicatedState,
        FinalStateCache finalStates,
        LinearizableResponses responses,
        RequestMetrics metrics,
        Runnable requestCycle) {}
