package org.gullway.api;

import org.gullway.coordination.model.ClusterState;
import org.gullway.storage.ReplicatedState;
import org.gullway.transport.EventLoop;

/**
 * What the handlers of all kinds of requests depend on.
 *
 * @param triggerSchedulingCycle asks for a scheduling cycle, which records what users have asked for
 */
record RequestContext(
        EventLoop loop,
        ClusterState clusterState,
        ReplicatedState replicatedState,
        FinalStateCache finalStates,
        LinearizableResponses responses,
        RequestMetrics metrics,
        Runnable triggerSchedulingCycle) {}
