package org.gullway.controller;

import org.gullway.coordination.model.RecordCapacity;
import org.gullway.coordination.placement.MachineTypeCatalog;
import org.gullway.coordination.placement.PlacementConstraints;
import org.gullway.coordination.quota.TeamQuotas;

/** The machine types, placement constraints, team quotas and record sizes that limit where and how many tasks run. */
record PlacementComponents(
        MachineTypeCatalog machineTypes,
        PlacementConstraints constraints,
        TeamQuotas quotas,
        RecordCapacity recordCapacity) {
    static PlacementComponents create(ControllerEnvironment environment) {
        MachineTypeCatalog machineTypes = new MachineTypeCatalog();
        int valueBytes = environment.transactionLimits().valueBytes();
        return new PlacementComponents(
                machineTypes,
                new PlacementConstraints(machineTypes),
                new TeamQuotas(environment.settings().teams()),
                new RecordCapacity(environment.clusterState(), valueBytes, environment.wallClockTime()));
    }
}
