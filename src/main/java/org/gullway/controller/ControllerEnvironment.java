package org.gullway.controller;

import java.time.InstantSource;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.coordination.model.TransactionLimits;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;

/**
 * The settings and shared objects from which the components of one controller are created.
 *
 * @param settings the platform's settings
 * @param operatorSettings the operators' own settings
 * @param loop the event loop, whose thread runs all components and which provides the monotonic clock
 * @param wallClockTime the wall clock; the platform guarantees a bound for its drift, which is not among the settings
 * @param self the incarnation of this controller, which identifies this run of its process
 * @param clusterState this controller's replica of the state store; contains what full reads and the watch have
 *     delivered, and this controller's own confirmed commits
 * @param requestCycle requests a scheduling cycle
 */
record ControllerEnvironment(
        Settings settings,
        OperatorSettings operatorSettings,
        EventLoop loop,
        HttpClient httpClient,
        InstantSource wallClockTime,
        Incarnation self,
        ClusterState clusterState,
        Runnable requestCycle) {
    /** Returns the limits of the state store's transactions. */
    TransactionLimits transactionLimits() {
        return new TransactionLimits(settings.stateChangesPerCommit(), settings.stateValueBytes());
    }
}
