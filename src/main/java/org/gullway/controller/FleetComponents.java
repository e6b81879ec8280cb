package org.gullway.controller;

import org.gullway.cloud.CloudClient;
import org.gullway.cloud.CloudProvisioner;
import org.gullway.coordination.scaling.FleetAutoscaler;
import org.gullway.coordination.scaling.ScalingPolicy;
import org.gullway.protocol.OperatorSettings;
import org.gullway.protocol.Settings;

/** The components that size the fleet, and provision and release its machines. */
record FleetComponents(FleetAutoscaler autoscaler, CloudProvisioner cloudProvisioner) {
    static FleetComponents create(ControllerEnvironment environment, PlacementComponents placement) {
        Settings settings = environment.settings();
        OperatorSettings operatorSettings = environment.operatorSettings();
        FleetAutoscaler autoscaler = new FleetAutoscaler(
                environment.clusterState(),
                placement.constraints(),
                placement.quotas(),
                placement.recordCapacity(),
                new ScalingPolicy(
                        operatorSettings.spareCapacityFraction(),
                        operatorSettings.scaleInDelay(),
                        operatorSettings.bootTimeoutFactor()));
        CloudClient cloudClient = new CloudClient(
                environment.loop(),
                environment.httpClient(),
                settings.cloudAddress(),
                settings.cloudRequestsPerSecond());
        CloudProvisioner cloudProvisioner = new CloudProvisioner(
                environment.loop(),
                environment.wallClockTime(),
                cloudClient,
                environment.clusterState(),
                placement.machineTypes(),
                autoscaler,
                environment.self(),
                environment.requestCycle());
        return new FleetComponents(autoscaler, cloudProvisioner);
    }
}
