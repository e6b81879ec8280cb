package org.gullway.controller;

import java.time.InstantSource;
import org.gullway.coordination.model.ClusterState;
import org.gullway.coordination.model.Incarnation;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;
import org.gullway.transport.EventLoop;
import org.gullway.transport.HttpClient;

/**
 * What all components of one controller are built from.
 *
 * @param settings of the platform
 * @param operatorSettings the operators' own settings
 * @param loop the thread on which all components run, with the monotonic clock
 * @param timeOfDay the wall clock, which drifts within the bound that the platform states
 * @param self this run of the controller's process
 * @param clusterState the replicated state, as of the last change that the watch has brought
 * @param schedule requests a scheduling cycle
 */
record ControllerEnvironment(
        Settings settings,
        OperatorSettings operatorSettings,
        EventLoop loop,
        HttpClient httpClient,
        InstantSource timeOfDay,
        Incarnation self,
        ClusterState clusterState,
        Runnable schedule) {}
